package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ways in which a run ends.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
)

// run is one start of a task at a worker.
type run struct {
	task    string
	attempt int
	worker  string
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	number  int // in the worker's list of ends
	// listed is when the end was first in an answer of the worker, and noted when
	// lastSeen reached it; zero if not.
	listed time.Time
	noted  time.Time
	// lapsed states that the worker's lease lapsed between the end and the note.
	lapsed bool
}

// takenNote reports whether the end was taken note of in the sense of the rules.
func (r *run) takenNote() bool { return !r.noted.IsZero() && !r.lapsed }

// ledger holds the jobs that callers sent and the runs that workers saw.
type ledger struct {
	rec *record

	mu   sync.Mutex
	jobs map[string]*jobRequest
	runs []*run
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, jobs: make(map[string]*jobRequest)} }

// addJob notes a job before it is sent.
func (l *ledger) addJob(id string, job *jobRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = job
}

// job returns the job with an ID.
func (l *ledger) job(id string) *jobRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id]
}

// phaseOf returns the step that a task belongs to. A task's name is ID.K.STEP.INDEX.
func (l *ledger) phaseOf(task string) (*phase, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, false
	}
	step, err := strconv.Atoi(parts[2])
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.jobs[parts[0]]
	if err != nil || job == nil || step < 0 || step >= len(job.Phases) {
		return nil, false
	}
	return &job.Phases[step], true
}

// start notes a run. The caller changes the run afterwards only with l.mu held.
func (l *ledger) start(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// with calls f while the ledger is locked.
func (l *ledger) with(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// snapshot returns copies of all runs in the order of their starts.
func (l *ledger) snapshot() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	slices.SortStableFunc(out, func(a, b run) int { return a.started.Compare(b.started) })
	return out
}

// runsOf returns the runs of one job in the order of their starts.
func (l *ledger) runsOf(id string) []run {
	return slices.DeleteFunc(l.snapshot(), func(r run) bool { return !strings.HasPrefix(r.task, id+".") })
}

// writeRuns writes all runs into the record.
func (l *ledger) writeRuns() {
	for _, r := range l.snapshot() {
		l.rec.printf("run %s", l.describe(&r))
	}
}

// describe returns what is known of a run, with times since the case began.
func (l *ledger) describe(r *run) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(l.rec.began).Seconds())
	}
	return fmt.Sprintf("%s attempt %d at %s: start %s, end %s %s, number %d, listed %s, noted %s, lapsed %v",
		r.task, r.attempt, r.worker, at(r.started), at(r.ended), cmp.Or(r.how, "-"), r.number, at(r.listed), at(r.noted), r.lapsed)
}

// twice returns the starts that the rule TWICE forbids: a start while another run of the
// task goes on, or after a run has ended as done whose end was taken note of then or
// later. It looks at the jobs for which counts returns true.
func (l *ledger) twice(counts func(id string) bool) []string {
	byTask := make(map[string][]run)
	var order []string
	for _, r := range l.snapshot() {
		if id, _, _ := strings.Cut(r.task, "."); !counts(id) {
			continue
		}
		if byTask[r.task] == nil {
			order = append(order, r.task)
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	var out []string
	for _, task := range order {
		runs := byTask[task]
		for i := range runs {
			for k := range i {
				earlier, later := &runs[k], &runs[i]
				switch {
				case earlier.ended.IsZero() || earlier.ended.After(later.started):
					out = append(out, fmt.Sprintf("two runs at the same time: %s; and %s", l.describe(earlier), l.describe(later)))
				case earlier.how == endDone && earlier.takenNote():
					out = append(out, fmt.Sprintf("started after it was done: %s; and %s", l.describe(earlier), l.describe(later)))
				}
			}
		}
	}
	return out
}

// everyJob is a filter that takes all jobs.
func everyJob(string) bool { return true }

// firstOf returns at most n lines of a list and how many there are.
func firstOf(n int, what string, lines []string) []string {
	if len(lines) == 0 {
		return nil
	}
	return append([]string{fmt.Sprintf("%d x %s; the first:", len(lines), what)}, lines[:min(n, len(lines))]...)
}
