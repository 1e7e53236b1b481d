package entry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against two runs of a job at the same time while the entry and its agents are
// paused, connections are cut or break, and callers send their jobs again.
func TestResentJobsRunOnceAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newResendWorld(rapid.IntRange(1, 3).Draw(t, "agents"), t.Fatalf, func(limit int) int { return random.IntN(limit + 1) })
		w.log = t.Logf
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
			span := time.Duration(rapid.IntRange(20, 2500).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				w.pausedUntil = max(w.pausedUntil, w.now+span)
				t.Logf("%v: the entry is paused until %v", w.now, w.pausedUntil)
			case 1:
				h.pausedUntil = max(h.pausedUntil, w.now+span)
				t.Logf("%v: %s is paused until %v", w.now, h.name, h.pausedUntil)
			case 2:
				h.cutUntil = max(h.cutUntil, w.now+span)
				t.Logf("%v: %s is cut off until %v", w.now, h.name, h.cutUntil)
			case 3:
				w.resetLink(h, span/5)
			case 4, 5:
				if waiting := w.waitingCallers(); len(waiting) > 0 {
					w.leave(rapid.SampledFrom(waiting).Draw(t, "caller"))
				}
			case 6:
				w.submitStored()
			case 8:
				if !h.killed {
					w.kill(h, span/2)
				}
			case 7: // callers leave because of a pause
				w.pausedUntil = max(w.pausedUntil, w.now+span)
				t.Logf("%v: the entry is paused until %v", w.now, w.pausedUntil)
				for _, c := range w.waitingCallers() {
					w.leave(c)
				}
			default:
				if w.now >= w.pausedUntil {
					w.submit()
				}
			}
			w.advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "between")) * time.Millisecond)
		}
		w.advance(5 * time.Second)
	})
}

// A doubt makes the outcome of the run at an agent unknown to the entry for some time.
type doubt struct {
	name  string
	begin func(w *resendWorld, h *resendHost, span time.Duration)
}

var doubts = []doubt{
	{"reachable", func(*resendWorld, *resendHost, time.Duration) {}},
	{"cut off", func(w *resendWorld, h *resendHost, span time.Duration) { h.cutUntil = w.now + span }},
	{"paused", func(w *resendWorld, h *resendHost, span time.Duration) { h.pausedUntil = w.now + span }},
	{"connection broken", func(w *resendWorld, h *resendHost, span time.Duration) { w.resetLink(h, span) }},
	{"killed", func(w *resendWorld, h *resendHost, span time.Duration) { w.kill(h, span) }},
	{"entry paused", func(w *resendWorld, _ *resendHost, span time.Duration) { w.pausedUntil = w.now + span }},
}

// Guards against two runs of a task at the same time when a job is sent to the same
// entry again while the run of its first submission is in doubt: after the caller's
// connection broke, after its deadline, or after an answer that leaves the outcome open.
func TestJobIsSubmittedAgainWhileFirstRunIsInDoubt(t *testing.T) {
	repeated := 0
	for _, d := range doubts {
		for _, way := range []string{"caller leaves", "deadline", "caller waits"} {
			for _, ms := range []time.Duration{50, 350, 410, 430, 450, 470, 700, 1000, 1400, 2000, 2900} {
				span := ms * time.Millisecond
				// The doubt begins up to 1.2 s before and 0.2 s after the caller leaves or the
				// deadline passes.
				for offset := -1200 * time.Millisecond; offset <= 200*time.Millisecond; offset += 140 * time.Millisecond {
					repeated += checkSubmittedAgain(t, d, way, span, offset)
				}
			}
		}
	}
	assert.Assert(t, repeated > 0, "no job ran again")
}

func checkSubmittedAgain(t *testing.T, d doubt, way string, span, offset time.Duration) (repeated int) {
	var failure string
	w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, func(limit int) int {
		switch limit {
		case 1:
			return 0 // the job is sent to the same entry
		case 4000:
			if way == "deadline" {
				return 1500 // the deadline is after 2 s
			}
		}
		return limit
	})
	c := w.submit()
	const ends = 2 * time.Second
	w.advance(ends + min(offset, 0))
	if i := slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 }); i >= 0 && offset < 0 {
		d.begin(w, w.hosts[i], span)
	}
	w.advance(max(0, -offset))
	if way == "caller leaves" && c.submission != (wire.SubmissionID{}) {
		w.leave(c)
	}
	w.advance(max(0, offset))
	if i := slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 && !h.killed }); i >= 0 && offset >= 0 {
		d.begin(w, w.hosts[i], span)
	}
	w.advance(7 * time.Second)
	assert.Equal(t, failure, "", "%s for %v, from %v, %s", d.name, span, offset, way)
	return max(0, w.runs-1)
}
