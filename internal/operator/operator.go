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

// Outcome is what became of one change.
type Outcome uint8

// Values of Outcome, in order of exit code.
const (
	// Unchanged: the item is in the wanted state already.
	Unchanged Outcome = iota
	// Accepted: the change was read back from the log as the winner.
	Accepted
	// DryRun: the change would be sent.
	DryRun
	// NotAccepted: the change is not and will not be in force.
	NotAccepted
	// Lost: another change was first.
	Lost
	// Unknown: the change may be in force or may yet come into force.
	Unknown
)

var outcomeNames = [...]string{"unchanged", "accepted", "would change", "not accepted", "lost", "unknown"}

// String returns the outcome as shown to operators.
func (o Outcome) String() string { return outcomeNames[o] }

// Exit codes of the commands.
const (
	ExitOK          = 0
	ExitNotAccepted = 1 // refused, or the log or the item is not there
	ExitInput       = 2 // the input has problems; nothing was sent
	ExitLost        = 3
	ExitUnknown     = 4
)

// ChangeResult is the result of one change.
type ChangeResult struct {
	Key     config.Key
	ID      platformlog.RecordID // zero if nothing was sent
	Base    int64                // revision that the change replaces
	Outcome Outcome
	// Revision is the item's current revision and Winner the change that set it.
	Revision int64
	Winner   platformlog.RecordID
	Detail   string
}

// Result is the result of one command.
type Result struct {
	Changes  []ChangeResult
	Problems []Problem
	Err      error // the command itself failed
}

// ExitCode returns the exit code: the worst outcome counts.
func (r Result) ExitCode() int {
	code := ExitOK
	if r.Err != nil {
		code = ExitNotAccepted
	}
	if len(r.Problems) > 0 {
		code = ExitInput
	}
	for _, c := range r.Changes {
		switch c.Outcome {
		case NotAccepted:
			code = max(code, ExitNotAccepted)
		case Lost:
			code = max(code, ExitLost)
		case Unknown:
			code = max(code, ExitUnknown)
		}
	}
	return code
}

// Client runs commands.
type Client struct {
	Log platformlog.Log
	Out io.Writer
	// Timeout bounds one command. Default 10 s.
	Timeout time.Duration
}

// DefaultTimeout is the default of Client.Timeout.
const DefaultTimeout = 10 * time.Second

func (c *Client) start(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.Timeout > 0 {
		return context.WithTimeout(ctx, c.Timeout)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func (c *Client) failed(err error) Result {
	fmt.Fprintf(c.Out, "error: %v\n", err)
	return Result{Err: err}
}

// Apply publishes the items of a TOML file. With dryRun it only says what it
// would do.
func (c *Client) Apply(ctx context.Context, file string, data []byte, dryRun bool) Result {
	wanted, problems := Parse(file, data)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(c.Out, p.Error())
		}
		return Result{Problems: problems}
	}
	changes := make([]config.Change, len(wanted))
	hasBase := make([]bool, len(wanted))
	for i, w := range wanted {
		changes[i], hasBase[i] = w.Change, w.HasBase
	}
	return c.run(ctx, changes, hasBase, dryRun)
}

// Diff says what Apply would change.
func (c *Client) Diff(ctx context.Context, file string, data []byte) Result {
	return c.Apply(ctx, file, data, true)
}

// Delete removes one class or team. base is the revision that the operator
// means to delete, or 0 for the current one.
func (c *Client) Delete(ctx context.Context, key config.Key, base int64, dryRun bool) Result {
	change := config.Change{Kind: key.Kind, Name: key.Name, Base: base, Deleted: true}
	if key.Kind == config.KindEmphasis {
		return c.failed(fmt.Errorf("emphasis cannot be deleted; allowed: class or team"))
	}
	return c.run(ctx, []config.Change{change}, []bool{base != 0}, dryRun)
}

// run sends the changes that differ from the state in force.
func (c *Client) run(ctx context.Context, changes []config.Change, hasBase []bool, dryRun bool) Result {
	ctx, cancel := c.start(ctx)
	defer cancel()
	v := newView(c.Log)
	if err := v.load(ctx); err != nil {
		return c.failed(err)
	}
	r := Result{Changes: make([]ChangeResult, len(changes))}
	for i := range changes {
		r.Changes[i] = plan(v.machine.State(), &changes[i], hasBase[i])
		c.announce(&r.Changes[i], &changes[i], v.machine.State(), dryRun)
	}
	if !dryRun {
		c.send(ctx, v, changes, r.Changes)
	}
	for i := range r.Changes {
		c.report(&r.Changes[i])
	}
	return r
}

// plan settles what needs no record; Outcome Unknown means that one is needed.
func plan(s *config.State, ch *config.Change, hasBase bool) ChangeResult {
	key := ch.Key()
	current, exists := s.Get(key)
	if !hasBase {
		ch.Base = s.Revision(key)
	}
	r := ChangeResult{Key: key, Base: ch.Base, Revision: s.Revision(key), Winner: platformlog.RecordID(current.ID), Outcome: Unknown}
	faults := s.Validate(ch)
	switch {
	case ch.Base != r.Revision:
		r.Outcome = Lost
	case len(faults) > 0:
		r.Outcome, r.Detail = NotAccepted, faults[0].Error()
	case exists && !ch.Deleted && current.Value == ch.Value:
		r.Outcome = Unchanged
	}
	return r
}

// announce states the change before it is sent.
func (c *Client) announce(r *ChangeResult, ch *config.Change, s *config.State, dryRun bool) {
	if r.Outcome != Unknown {
		return
	}
	before := "not set"
	if it, ok := s.Get(r.Key); ok {
		before = describe(it.Key.Kind, it.Value, false)
	}
	after := describe(ch.Kind, ch.Value, ch.Deleted)
	if dryRun {
		r.Outcome = DryRun
		fmt.Fprintf(c.Out, "%s: %s -> %s, replacing revision %d\n", r.Key, before, after, r.Base)
		return
	}
	r.ID = platformlog.NewRecordID()
	fmt.Fprintf(c.Out, "%s: %s -> %s, replacing revision %d, id %s\n", r.Key, before, after, r.Base, r.ID)
}

// send appends the changes and reads on until each has a verdict.
func (c *Client) send(ctx context.Context, v *view, changes []config.Change, results []ChangeResult) {
	from := v.from
	open := 0
	for i := range results {
		if results[i].Outcome == Unknown && c.append(ctx, from, &changes[i], &results[i]) {
			open++
		}
	}
	for open > 0 {
		open = settle(v, results)
		if open == 0 {
			return
		}
		if _, err := v.read(ctx, platformlog.MaxWait); err != nil {
			return
		}
	}
}

// append returns false if the change was certainly not appended.
func (c *Client) append(ctx context.Context, from int64, ch *config.Change, r *ChangeResult) bool {
	body, err := (&config.Record{ID: config.ID(r.ID), Change: ch}).Encode()
	if err == nil {
		_, err = platformlog.AppendOnce(ctx, c.Log, logstate.StreamConfig, r.ID, body, from)
	}
	if err == nil || errorx.IsOfType(err, platformlog.OutcomeUnknown) {
		return true
	}
	r.Outcome, r.Detail = NotAccepted, err.Error()
	return false
}

// settle takes over the verdicts that are known and returns how many are not.
func settle(v *view, results []ChangeResult) int {
	open := 0
	for i := range results {
		r := &results[i]
		if r.Outcome != Unknown {
			continue
		}
		verdict, known := v.outcome(config.ID(r.ID))
		if !known {
			open++
			continue
		}
		r.take(&verdict)
	}
	return open
}

func (r *ChangeResult) take(v *config.Result) {
	r.Revision, r.Winner = v.Revision, platformlog.RecordID(v.CurrentID)
	switch v.Outcome {
	case config.Accepted:
		r.Outcome = Accepted
	case config.Conflict:
		r.Outcome = Lost
	default:
		r.Outcome = NotAccepted
		if len(v.FieldErrors) > 0 {
			r.Detail = v.FieldErrors[0].Error()
		}
	}
}

func (c *Client) report(r *ChangeResult) {
	switch r.Outcome {
	case DryRun:
	case Unchanged, Accepted:
		fmt.Fprintf(c.Out, "%s: %s, revision %d\n", r.Key, r.Outcome, r.Revision)
	case Lost:
		fmt.Fprintf(c.Out, "%s: lost: revision %d was to be replaced, revision %d is in force (id %s)\n",
			r.Key, r.Base, r.Revision, r.Winner)
	case NotAccepted:
		fmt.Fprintf(c.Out, "%s: not accepted: %s\n", r.Key, r.Detail)
	case Unknown:
		item := r.Key.String()
		if r.Key.Kind == 0 { // the log does not tell which item the id concerns
			item = "change"
		}
		fmt.Fprintf(c.Out, "%s: unknown: ask again with this id: %s\n", item, r.ID)
	}
}
