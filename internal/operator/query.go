package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/platformlog"
)

// List writes all items in the input format of apply. Emphasis comes first,
// because TOML requires top-level keys before tables.
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

// Get writes one item in the input format of apply.
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

// History writes the retained changes of one item with their outcomes, oldest
// first.
func (c *Client) History(ctx context.Context, key config.Key) Result {
	return c.query(ctx, func(v *view) error {
		for _, r := range v.results {
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

// Outcome writes the outcome of a change that was reported as unknown.
func (c *Client) Outcome(ctx context.Context, id platformlog.RecordID) Result {
	r := ChangeResult{ID: id, Outcome: OutcomeUnknown}
	status := c.query(ctx, func(v *view) error {
		result, known := v.find(config.ID(id))
		if !known {
			fmt.Fprintln(c.Out, "the log does not hold the change; a lost append may still take effect, or the record has expired")
			return nil
		}
		if result.Change != nil {
			r.Key, r.BaseRevision = result.Change.Key(), result.Change.Base
		}
		r.setResult(&result)
		return nil
	})
	c.report(&r)
	status.Changes = []ChangeResult{r}
	return status
}

// query reads the log and then calls show.
func (c *Client) query(ctx context.Context, show func(*view) error) Result {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	v := newView(c.Log)
	if err := v.load(ctx); err != nil {
		return c.fail(err)
	}
	if err := show(v); err != nil {
		return c.fail(err)
	}
	return Result{}
}
