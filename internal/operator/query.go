package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/platformlog"
)

// List writes every item as input for apply. Emphasis comes first, because
// TOML wants top-level keys before sections.
func (c *Client) List(ctx context.Context) Result {
	return c.query(ctx, func(v *view) error {
		s := v.machine.State()
		fmt.Fprintf(c.Out, "# version %d\n", s.Version())
		if it, ok := s.Get(config.Key{Kind: config.KindEmphasis}); ok {
			writeItem(c.Out, it)
		}
		for _, it := range s.Items() {
			if it.Key.Kind != config.KindEmphasis {
				fmt.Fprintln(c.Out)
				writeItem(c.Out, it)
			}
		}
		return nil
	})
}

// Get writes one item as input for apply.
func (c *Client) Get(ctx context.Context, key config.Key) Result {
	return c.query(ctx, func(v *view) error {
		it, ok := v.machine.State().Get(key)
		if !ok {
			return fmt.Errorf("%s is not set", key)
		}
		writeItem(c.Out, it)
		return nil
	})
}

// History writes the retained changes of one item, oldest first, with what
// became of each.
func (c *Client) History(ctx context.Context, key config.Key) Result {
	return c.query(ctx, func(v *view) error {
		for _, r := range v.verdicts {
			if r.Change.Key() != key {
				continue
			}
			fmt.Fprintf(c.Out, "%s offset %d: %s: %s, base %d, revision after %d, id %s\n",
				time.UnixMicro(r.Time.Microseconds()).UTC().Format(time.RFC3339Nano), r.Offset, r.Outcome,
				describe(key.Kind, r.Change.Value, r.Change.Deleted), r.Change.Base, r.Revision,
				platformlog.RecordID(r.ID))
		}
		if v.oldest > 0 {
			fmt.Fprintf(c.Out, "# the log no longer holds records below offset %d\n", v.oldest)
		}
		return nil
	})
}

// Outcome says what became of a change whose outcome was unknown.
func (c *Client) Outcome(ctx context.Context, id platformlog.RecordID) Result {
	r := ChangeResult{ID: id, Outcome: Unknown}
	result := c.query(ctx, func(v *view) error {
		verdict, known := v.outcome(config.ID(id))
		if !known {
			fmt.Fprintln(c.Out, "the log does not hold the change; a lost append may still take effect, or the record has expired")
			return nil
		}
		if verdict.Change != nil {
			r.Key, r.Base = verdict.Change.Key(), verdict.Change.Base
		}
		r.take(&verdict)
		return nil
	})
	c.report(&r)
	result.Changes = []ChangeResult{r}
	return result
}

func (c *Client) query(ctx context.Context, show func(*view) error) Result {
	ctx, cancel := c.start(ctx)
	defer cancel()
	v := newView(c.Log)
	if err := v.load(ctx); err != nil {
		return c.failed(err)
	}
	if err := show(v); err != nil {
		return c.failed(err)
	}
	return Result{}
}
