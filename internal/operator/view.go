package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/platformlog"
)

// view reads the config stream for one command and keeps the results of all
// changes.
type view struct {
	log     platformlog.Log
	machine *config.Machine
	results []config.Result
	byID    map[config.ID]config.Result // the first result of each change
	from    int64                       // next offset to read
	oldest  int64                       // oldest retained offset
}

func newView(log platformlog.Log) *view {
	return &view{log: log, machine: config.New(config.Options{}), byID: make(map[config.ID]config.Result)}
}

// load reads to the end of the stream, with retries until ctx is done.
func (v *view) load(ctx context.Context) error {
	for {
		atEnd, err := v.read(ctx, 0)
		if err != nil {
			return err
		}
		if atEnd {
			return v.checkComplete()
		}
	}
}

// checkComplete returns an error if records are missing or cannot be decoded.
func (v *view) checkComplete() error {
	if err := v.machine.Blocked(); err != nil {
		return err
	}
	if from, to, gap := v.machine.Gap(); gap {
		return fmt.Errorf("the log no longer holds the records %d to %d and no snapshot that covers them", from, to-1)
	}
	if v.from > v.machine.Next() {
		return fmt.Errorf("the log no longer holds the records %d to %d", v.machine.Next(), v.from-1)
	}
	return nil
}

// read applies one batch and returns whether it reached the end of the stream.
func (v *view) read(ctx context.Context, wait time.Duration) (bool, error) {
	var backoff platformlog.Backoff
	for {
		b, err := v.log.Read(ctx, platformlog.ReadRequest{Stream: logstate.StreamConfig, From: v.from, Wait: wait})
		if err == nil {
			v.applyBatch(&b)
			return v.from >= b.Next, nil
		}
		if oldest, ok := platformlog.OldestOffset(err); ok && errorx.IsOfType(err, platformlog.ExpiredOffset) && oldest > v.from {
			v.from = oldest
			continue
		}
		if !backoff.Sleep(ctx, platformlog.RetryAfter(err)) {
			return false, err
		}
	}
}

func (v *view) applyBatch(b *platformlog.Batch) {
	v.oldest = b.Oldest
	for _, r := range b.Records {
		for _, result := range v.machine.Apply(r.Offset, r.Time, r.Body) {
			v.addResult(result)
		}
		v.from = r.Offset + 1
	}
}

// addResult keeps the result of a change. A change that is buffered gets another
// result later.
func (v *view) addResult(result config.Result) {
	if result.Outcome == config.Buffered || result.Change == nil {
		return
	}
	v.results = append(v.results, result)
	if _, replay := v.byID[result.ID]; !replay {
		v.byID[result.ID] = result
	}
}

// find returns the result of a change, or false if it is not known.
func (v *view) find(id config.ID) (config.Result, bool) {
	result, ok := v.byID[id]
	if ok && result.Outcome == config.Conflict && result.CurrentID == id {
		result.Outcome = config.Accepted // a replay of a change whose first record has expired
	}
	if ok {
		return result, true
	}
	for _, it := range v.machine.State().Items() {
		if it.ID == id {
			return config.Result{ID: id, Outcome: config.Accepted, Revision: it.Revision, CurrentID: id}, true
		}
	}
	return config.Result{}, false
}

// writeItem writes an item in the input format of apply.
func writeItem(w io.Writer, it config.Item) {
	switch it.Key.Kind {
	case config.KindClass:
		fmt.Fprintf(w, "[[class]]\nname = %q\nwithin_ms = %d\nsuccess = %v\nrevision = %d\n",
			it.Key.Name, it.Value.ResponseTargetMicros/1000, it.Value.TargetShare, it.Revision)
	case config.KindTeam:
		fmt.Fprintf(w, "[[team]]\nname = %q\nquota = %d\nrevision = %d\n", it.Key.Name, it.Value.Quota, it.Revision)
	case config.KindEmphasis:
		fmt.Fprintf(w, "emphasis = %q\nemphasis_revision = %d\n", emphasisName(it.Value.Emphasis), it.Revision)
	}
}

func emphasisName(e uint8) string {
	if policy.Emphasis(e) == policy.EmphasisMessages {
		return "messages"
	}
	return "response"
}

// describe returns a value in one line.
func describe(k config.Kind, v config.Value, deleted bool) string {
	switch {
	case deleted:
		return "deleted"
	case k == config.KindClass:
		return fmt.Sprintf("within %d ms, success %v", v.ResponseTargetMicros/1000, v.TargetShare)
	case k == config.KindTeam:
		return fmt.Sprintf("quota %d", v.Quota)
	}
	return emphasisName(v.Emphasis)
}
