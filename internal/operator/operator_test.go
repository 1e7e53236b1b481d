package operator

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var quote = config.Key{Kind: config.KindClass, Name: "quote"}

const sample = `
emphasis = "messages"

[[class]]
name = "quote"
within_ms = 800
success = 0.99

[[team]]
name = "desk"
quota = 40
`

func startLog(t *testing.T) *logserver.Server {
	t.Helper()
	s, err := logserver.Start(logserver.Options{Listen: "127.0.0.1:0", AppendsPerSecond: -1})
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

func client(t *testing.T, s *logserver.Server, timeout time.Duration) (*Client, *bytes.Buffer) {
	log := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.URL()})
	t.Cleanup(log.Close)
	out := new(bytes.Buffer)
	return &Client{Log: log, Out: out, Timeout: timeout}, out
}

// quoteFile returns an input file that sets the class quote and replaces the given
// revision.
func quoteFile(within, revision int) []byte {
	return fmt.Appendf(nil, "[[class]]\nname = \"quote\"\nwithin_ms = %d\nsuccess = 0.9\nrevision = %d\n", within, revision)
}

// Guards against problems that are reported one at a time, or without the line and
// what is allowed.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, problems := Parse("c.toml", []byte(`emphasis = "speed"
colour = 1
[[class]]
name = "Quote"
within_ms = "800ms"
success = 1.5
[[class]]
name = "render"
within_ms = 600001
succes = 0.9
[[team]]
name = "desk"
quota = -1
[[team]]
name = "desk"
quota = 1
[limits]
x = 1
[team.sub]
y = 1
`))
	var got []string
	for _, p := range problems {
		got = append(got, p.Error())
	}
	assert.DeepEqual(t, got, []string{
		`c.toml:1: emphasis: "speed"; allowed: "response" or "messages"`,
		`c.toml:2: colour: unknown key; allowed: emphasis, emphasis_revision, [[class]], [[team]]`,
		`c.toml:4: class.name: "Quote"; allowed: 1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or a digit`,
		`c.toml:5: class.within_ms: a value of type string; allowed: 1 ms to 600000 ms`,
		`c.toml:6: class.success: "1.5"; allowed: 0 to 1`,
		`c.toml:7: class.success: missing key; allowed: 0 to 1`,
		`c.toml:9: class.within_ms: 600001; allowed: 1 ms to 600000 ms`,
		`c.toml:10: class.succes: unknown key; allowed: name, within_ms, success, revision`,
		`c.toml:13: team.quota: "-1"; allowed: 0 (no bound) to 1000000`,
		`c.toml:14: team.name: "desk"; allowed: each name once; line 11 has it`,
		`c.toml:17: limits: unknown section [limits]; allowed: [[class]] and [[team]]`,
		`c.toml:19: team.sub: unknown section [team.sub]; allowed: [[class]] and [[team]]`,
	})
	_, problems = Parse("c.toml", []byte("a = 1\nb = [\n"))
	assert.Equal(t, len(problems), 1)
}

// Guards against a published configuration that differs from the file, and against
// output of list that apply does not accept as input.
func TestListReturnsWhatWasApplied(t *testing.T) {
	c, out := client(t, startLog(t), time.Minute)
	r := c.Apply(context.Background(), "f", []byte(sample), false)
	assert.Equal(t, r.ExitCode(), ExitOK, out.String())
	for _, ch := range r.Changes {
		assert.Equal(t, ch.Outcome, OutcomeAccepted)
	}
	out.Reset()
	assert.Equal(t, c.List(context.Background()).Err, nil)
	r = c.Apply(context.Background(), "f", out.Bytes(), false)
	assert.Equal(t, len(r.Changes), 3)
	for _, ch := range r.Changes {
		assert.Equal(t, ch.Outcome, OutcomeUnchanged)
	}
}

// Guards against concurrent changes of one revision that are both reported as
// accepted.
func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	s := startLog(t)
	first, _ := client(t, s, time.Minute)
	assert.Equal(t, first.Apply(context.Background(), "f", quoteFile(100, 0), false).ExitCode(), ExitOK)
	const operators = 8
	results := make([]Result, operators)
	var wg sync.WaitGroup
	for i := range operators {
		c, _ := client(t, s, time.Minute)
		wg.Go(func() { results[i] = c.Apply(context.Background(), "f", quoteFile(200+i, 1), false) })
	}
	wg.Wait()
	var winner platformlog.RecordID
	for _, r := range results {
		if r.Changes[0].Outcome == OutcomeAccepted {
			assert.Equal(t, winner, platformlog.RecordID{}, "a second winner")
			winner = r.Changes[0].ID
		}
	}
	assert.Assert(t, winner != platformlog.RecordID{})
	for _, r := range results {
		assert.Equal(t, r.Changes[0].CurrentID, winner)
		if r.Changes[0].Outcome != OutcomeAccepted {
			assert.Equal(t, r.ExitCode(), ExitConflict)
		}
	}
}

// Guards against a stale file that overwrites a newer revision, and against an
// append for a change that cannot be accepted.
func TestStaleRevisionConflictsWithoutAppend(t *testing.T) {
	s := startLog(t)
	c, out := client(t, s, time.Minute)
	c.Apply(context.Background(), "f", quoteFile(100, 0), false)
	c.Apply(context.Background(), "f", quoteFile(200, 1), false)
	appends := s.Counts().Appends
	r := c.Apply(context.Background(), "f", quoteFile(300, 1), false)
	assert.Equal(t, r.ExitCode(), ExitConflict)
	assert.Equal(t, r.Changes[0].Revision, int64(2))
	assert.Assert(t, strings.Contains(out.String(), "revision 2 is in force"))
	assert.Equal(t, s.Counts().Appends, appends)
}

// Guards against a change that is reported as failed or applied twice because a
// reply was lost.
func TestLostReplyIsAcceptedAfterReadBack(t *testing.T) {
	s := startLog(t)
	c, _ := client(t, s, time.Minute)
	s.SetFaults(logserver.Faults{LoseReplies: 1})
	assert.Equal(t, c.Apply(context.Background(), "f", quoteFile(100, 0), false).Changes[0].Outcome, OutcomeAccepted)
	assert.Equal(t, len(s.Records(logstate.StreamConfig)), 1)
}

// Guards against a definite outcome for a change that may still take effect.
func TestUnknownOutcomeCanBeQueriedLater(t *testing.T) {
	s := startLog(t)
	c, out := client(t, s, 3*time.Second)
	s.SetFaults(logserver.Faults{LateAppends: 1_000_000, LateByMillis: 5000})
	r := c.Apply(context.Background(), "f", quoteFile(100, 0), false)
	assert.Equal(t, r.ExitCode(), ExitUnknown)
	id := r.Changes[0].ID
	assert.Assert(t, strings.Contains(out.String(), "ask again with this id: "+id.String()))
	c.Timeout = time.Minute
	assert.Equal(t, c.Outcome(context.Background(), platformlog.NewRecordID()).ExitCode(), ExitUnknown)
	for r.ExitCode() == ExitUnknown {
		r = c.Outcome(context.Background(), id)
	}
	assert.Equal(t, r.Changes[0].Outcome, OutcomeAccepted)
}

// Guards against a change that is reported as accepted during a log outage.
func TestChangeDuringOutageIsNotAccepted(t *testing.T) {
	s := startLog(t)
	c, _ := client(t, s, 200*time.Millisecond)
	s.SetFaults(logserver.Faults{Outage: true})
	assert.Equal(t, c.Apply(context.Background(), "f", quoteFile(100, 0), false).ExitCode(), ExitNotAccepted)
	assert.Equal(t, len(s.Records(logstate.StreamConfig)), 0)
}

// Guards against a dry run or diff that appends to the log.
func TestDryRunAppendsNothing(t *testing.T) {
	s := startLog(t)
	c, out := client(t, s, time.Minute)
	assert.Equal(t, c.Diff(context.Background(), "f", []byte(sample)).ExitCode(), ExitOK)
	assert.Assert(t, strings.Contains(out.String(), "class quote: not set -> within 800 ms, success 0.99, replacing revision 0"))
	assert.Equal(t, s.Counts().Appends, int64(0))
}

// Guards against deleted items that remain in effect, and against a history with
// missing or extra changes.
func TestDeleteAndHistory(t *testing.T) {
	s := startLog(t)
	c, out := client(t, s, time.Minute)
	ctx := context.Background()
	c.Apply(ctx, "f", quoteFile(100, 0), false)
	assert.Equal(t, c.Get(ctx, quote).ExitCode(), ExitOK)
	assert.Equal(t, c.Delete(ctx, quote, 7, false).ExitCode(), ExitConflict)
	assert.Equal(t, c.Delete(ctx, quote, 0, false).ExitCode(), ExitOK)
	assert.Equal(t, c.Get(ctx, quote).ExitCode(), ExitNotAccepted)
	assert.Equal(t, c.Delete(ctx, quote, 0, false).ExitCode(), ExitNotAccepted)
	out.Reset()
	assert.Equal(t, c.History(ctx, quote).ExitCode(), ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[1], "accepted: deleted, base 1, revision after 2"))
	assert.Equal(t, c.Apply(ctx, "f", quoteFile(100, 2), false).ExitCode(), ExitOK)
}

// Guards against commands that succeed on a log that no longer holds the whole
// configuration.
func TestIncompleteLogIsAnError(t *testing.T) {
	s := startLog(t)
	c, out := client(t, s, time.Minute)
	c.Apply(context.Background(), "f", []byte(sample), false)
	s.ExpireBelow(logstate.StreamConfig, 3)
	assert.Equal(t, c.Apply(context.Background(), "f", quoteFile(100, 0), false).ExitCode(), ExitNotAccepted)
	assert.Assert(t, strings.Contains(out.String(), "no longer holds the records 0 to 2"))
}

// Guards against input that crashes the parser, and against items that are returned
// with problems or with values that the configuration does not allow.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("class = [{name = \"a\"}]\n[[class]]\n"))
	f.Add([]byte("[[class]]\nname.x = 1\nwithin_ms = 0x_\n"))
	f.Add([]byte("a.b = { c = 1 }\n[class]\nname = '''x'''\nwithin_ms = 1e3\nsuccess = nan\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, problems := Parse("f", data)
		if len(problems) > 0 {
			assert.Equal(t, len(items), 0)
		}
		for _, item := range items {
			assert.Equal(t, len(item.Change.Validate()), 0)
		}
	})
}
