package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Outcome is the outcome of one change.
type Outcome uint8

// Values of Outcome, in order of exit code.
const (
	// OutcomeUnchanged: the item already has the requested value.
	OutcomeUnchanged Outcome = iota
	// OutcomeAccepted: the change was read back from the log and is the one that
	// replaced its base revision.
	OutcomeAccepted
	// OutcomeDryRun: the change would be sent if this were not a dry run.
	OutcomeDryRun
	// OutcomeNotAccepted: the change has not taken effect and will not.
	OutcomeNotAccepted
	// OutcomeConflict: the base revision of the change is not the item's current
	// revision, for example because another change replaced it first.
	OutcomeConflict
	// OutcomeUnknown: the change may have taken effect or may still do so.
	OutcomeUnknown
)

var outcomeNames = [...]string{"unchanged", "accepted", "would change", "not accepted", "lost", "unknown"}

// String returns the outcome as shown to operators.
func (o Outcome) String() string { return outcomeNames[o] }

// Exit codes of the commands.
const (
	ExitOK           = 0
	ExitNotAccepted  = 1 // change rejected, log unavailable or item not set
	ExitInvalidInput = 2 // invalid input; nothing was sent
	ExitConflict     = 3
	ExitUnknown      = 4
)

// ChangeResult is the result of one change.
type ChangeResult struct {
	Key          config.Key
	ID           platformlog.RecordID // zero if nothing was sent
	BaseRevision int64                // revision that the change is to replace
	Outcome      Outcome
	// Revision is the item's current revision and CurrentID the ID of the change
	// that set it.
	Revision  int64
	CurrentID platformlog.RecordID
	Detail    string // why the change was not accepted
}

// Result is the result of one command.
type Result struct {
	Changes  []ChangeResult
	Problems []Problem
	Err      error // failure of the command as a whole
}

// ExitCode returns the exit code of the worst outcome.
func (r Result) ExitCode() int {
	code := ExitOK
	if r.Err != nil {
		code = ExitNotAccepted
	}
	if len(r.Problems) > 0 {
		code = ExitInvalidInput
	}
	for _, c := range r.Changes {
		switch c.Outcome {
		case OutcomeNotAccepted:
			code = max(code, ExitNotAccepted)
		case OutcomeConflict:
			code = max(code, ExitConflict)
		case OutcomeUnknown:
			code = max(code, ExitUnknown)
		}
	}
	return code
}

// Client runs the operator's commands.
type Client struct {
	Log platformlog.Log
	Out io.Writer
	// Timeout bounds one command. Default 10 s.
	Timeout time.Duration
}

// DefaultTimeout is the default of Client.Timeout.
const DefaultTimeout = 10 * time.Second

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.Timeout > 0 {
		return context.WithTimeout(ctx, c.Timeout)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// fail prints the error and returns it as the result of the command.
func (c *Client) fail(err error) Result {
	fmt.Fprintf(c.Out, "error: %v\n", err)
	return Result{Err: err}
}

// Apply publishes the items of a TOML file. With dryRun it only prints the
// changes that it would make.
func (c *Client) Apply(ctx context.Context, file string, data []byte, dryRun bool) Result {
	items, problems := Parse(file, data)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(c.Out, p.Error())
		}
		return Result{Problems: problems}
	}
	changes := make([]config.Change, len(items))
	hasBase := make([]bool, len(items))
	for i, item := range items {
		changes[i], hasBase[i] = item.Change, item.HasBase
	}
	return c.run(ctx, changes, hasBase, dryRun)
}

// Diff prints the changes that Apply would make.
func (c *Client) Diff(ctx context.Context, file string, data []byte) Result {
	return c.Apply(ctx, file, data, true)
}

// Delete deletes one class or team. base is the revision to delete, or 0 for the
// current one.
func (c *Client) Delete(ctx context.Context, key config.Key, base int64, dryRun bool) Result {
	change := config.Change{Kind: key.Kind, Name: key.Name, Base: base, Deleted: true}
	if key.Kind == config.KindEmphasis {
		return c.fail(fmt.Errorf("emphasis cannot be deleted; allowed: class or team"))
	}
	return c.run(ctx, []config.Change{change}, []bool{base != 0}, dryRun)
}

// run sends the changes that differ from the current configuration. hasBase is
// whether each change states the revision to replace. With dryRun it sends nothing.
func (c *Client) run(ctx context.Context, changes []config.Change, hasBase []bool, dryRun bool) Result {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	v := newView(c.Log)
	if err := v.load(ctx); err != nil {
		return c.fail(err)
	}
	r := Result{Changes: make([]ChangeResult, len(changes))}
	for i := range changes {
		r.Changes[i] = plan(v.machine.State(), &changes[i], hasBase[i])
		c.printChange(&r.Changes[i], &changes[i], v.machine.State(), dryRun)
	}
	if !dryRun {
		c.send(ctx, v, changes, r.Changes)
	}
	for i := range r.Changes {
		c.report(&r.Changes[i])
	}
	return r
}

// plan returns the outcome of a change that needs no record in the log.
// OutcomeUnknown means that the change must be sent. plan sets the base of a change
// without one to the item's current revision.
func plan(s *config.State, ch *config.Change, hasBase bool) ChangeResult {
	key := ch.Key()
	current, exists := s.Get(key)
	if !hasBase {
		ch.Base = s.Revision(key)
	}
	r := ChangeResult{Key: key, BaseRevision: ch.Base, Revision: s.Revision(key), CurrentID: platformlog.RecordID(current.ID), Outcome: OutcomeUnknown}
	invalid := s.Validate(ch)
	switch {
	case ch.Base != r.Revision:
		r.Outcome = OutcomeConflict
	case len(invalid) > 0:
		r.Outcome, r.Detail = OutcomeNotAccepted, invalid[0].Error()
	case exists && !ch.Deleted && current.Value == ch.Value:
		r.Outcome = OutcomeUnchanged
	}
	return r
}

// printChange prints a change before it is sent, and sets its ID or, in a dry run,
// its outcome.
func (c *Client) printChange(r *ChangeResult, ch *config.Change, s *config.State, dryRun bool) {
	if r.Outcome != OutcomeUnknown {
		return
	}
	before := "not set"
	if it, ok := s.Get(r.Key); ok {
		before = describe(it.Key.Kind, it.Value, false)
	}
	after := describe(ch.Kind, ch.Value, ch.Deleted)
	if dryRun {
		r.Outcome = OutcomeDryRun
		fmt.Fprintf(c.Out, "%s: %s -> %s, replacing revision %d\n", r.Key, before, after, r.BaseRevision)
		return
	}
	r.ID = platformlog.NewRecordID()
	fmt.Fprintf(c.Out, "%s: %s -> %s, replacing revision %d, id %s\n", r.Key, before, after, r.BaseRevision, r.ID)
}

// send appends the changes and follows the log until the outcome of each is known
// or ctx is done.
func (c *Client) send(ctx context.Context, v *view, changes []config.Change, results []ChangeResult) {
	from := v.from
	unresolved := 0
	for i := range results {
		if results[i].Outcome == OutcomeUnknown && c.append(ctx, from, &changes[i], &results[i]) {
			unresolved++
		}
	}
	for unresolved > 0 {
		unresolved = setOutcomes(v, results)
		if unresolved == 0 {
			return
		}
		if _, err := v.read(ctx, platformlog.MaxWait); err != nil {
			return
		}
	}
}

// append appends a change. It returns false if the change was certainly not
// appended.
func (c *Client) append(ctx context.Context, from int64, ch *config.Change, r *ChangeResult) bool {
	body, err := (&config.Record{ID: config.ID(r.ID), Change: ch}).Encode()
	if err == nil {
		_, err = platformlog.AppendWithRetry(ctx, c.Log, logstate.StreamConfig, r.ID, body, from)
	}
	if err == nil || errorx.IsOfType(err, platformlog.OutcomeUnknown) {
		return true
	}
	r.Outcome, r.Detail = OutcomeNotAccepted, err.Error()
	return false
}

// setOutcomes sets the outcomes that are known by now and returns the number of
// those that are not.
func setOutcomes(v *view, results []ChangeResult) int {
	unresolved := 0
	for i := range results {
		r := &results[i]
		if r.Outcome != OutcomeUnknown {
			continue
		}
		result, known := v.find(config.ID(r.ID))
		if !known {
			unresolved++
			continue
		}
		r.setResult(&result)
	}
	return unresolved
}

// setResult sets the outcome that the log gives for the change.
func (r *ChangeResult) setResult(result *config.Result) {
	r.Revision, r.CurrentID = result.Revision, platformlog.RecordID(result.CurrentID)
	switch result.Outcome {
	case config.Accepted:
		r.Outcome = OutcomeAccepted
	case config.Conflict:
		r.Outcome = OutcomeConflict
	default:
		r.Outcome = OutcomeNotAccepted
		if len(result.FieldErrors) > 0 {
			r.Detail = result.FieldErrors[0].Error()
		}
	}
}

// report prints the outcome of a change.
func (c *Client) report(r *ChangeResult) {
	switch r.Outcome {
	case OutcomeDryRun:
	case OutcomeUnchanged, OutcomeAccepted:
		fmt.Fprintf(c.Out, "%s: %s, revision %d\n", r.Key, r.Outcome, r.Revision)
	case OutcomeConflict:
		fmt.Fprintf(c.Out, "%s: lost: revision %d was to be replaced, revision %d is in force (id %s)\n",
			r.Key, r.BaseRevision, r.Revision, r.CurrentID)
	case OutcomeNotAccepted:
		fmt.Fprintf(c.Out, "%s: not accepted: %s\n", r.Key, r.Detail)
	case OutcomeUnknown:
		item := r.Key.String()
		if r.Key.Kind == 0 { // no record says which item the id belongs to
			item = "change"
		}
		fmt.Fprintf(c.Out, "%s: unknown: ask again with this id: %s\n", item, r.ID)
	}
}
