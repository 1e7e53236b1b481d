package entryd_test

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// stoppableRuns are the runs at a fakeAgent, which end after a random time, or a random time
// after they were cancelled.
type stoppableRuns struct {
	mu      sync.Mutex
	stops   map[wire.Seq]chan struct{}
	running int
	most    int // runs at the same time
	maxRun  time.Duration
}

const maxRandomTime = 4 * time.Millisecond

func randomTime() time.Duration { return rand.N(maxRandomTime) }

func (r *stoppableRuns) run(s wire.Start) wire.Result {
	r.mu.Lock()
	stop := make(chan struct{})
	r.stops[s.Seq] = stop
	r.running++
	r.most = max(r.most, r.running)
	end := time.After(rand.N(r.maxRun))
	r.mu.Unlock()
	result := echo(s)
	select {
	case <-stop:
		time.Sleep(randomTime())
		result = wire.Result{Outcome: wire.Failed, Reason: wire.ReasonStopped}
	case <-end:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stops, s.Seq)
	r.running--
	return result
}

// setMaxRun sets the upper bound of the time after which runs end that start from now on.
func (r *stoppableRuns) setMaxRun(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxRun = d
}

func (r *stoppableRuns) cancel(seq wire.Seq) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stop := r.stops[seq]; stop != nil {
		delete(r.stops, seq)
		close(stop)
	}
}

// Guards against two runs of a task at the same time, and against jobs and requests that never
// end, if requests join a job while its last caller leaves.
func TestRequestsThatJoinWhileCallersLeaveStartNoSecondRun(t *testing.T) {
	const callers, rounds, requests = 4, 20, 10
	runs := &stoppableRuns{stops: make(map[wire.Seq]chan struct{})}
	e := startEntry(t, entryd.Options{
		Core: entry.Options{ResendDelay: resendDelay},
		CallerHandler: func(s entryd.Submitter) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				job := testJob(time.Minute)
				job.MaxFailedRuns = 3
				answer, ok := s.Submit(r.Context(), job)
				if !ok {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Outcome", answer.Outcome.String())
			})
		},
		// An answer that is kept would end the requests at once.
		AnswerRetention: time.Nanosecond,
	})
	a := startAgent(t, e, 8, runs.run)
	a.cancel = runs.cancel
	var answered sync.Map
	for round := range rounds {
		// In every other round no caller waits and runs last longer, so that the last caller
		// leaves during a run.
		mayWait := round%2 == 0
		if mayWait {
			runs.setMaxRun(maxRandomTime)
		} else {
			runs.setMaxRun(10 * maxRandomTime)
		}
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for range requests {
					c, err := net.Dial("tcp", e.Addr())
					if !assert.Check(t, err) {
						return
					}
					_, err = c.Write([]byte(firstRequest))
					assert.Check(t, err)
					if !mayWait || rand.N(2) == 0 {
						time.Sleep(randomTime())
					} else if reply, err := http.ReadResponse(bufio.NewReader(c), nil); assert.Check(t, err) {
						answered.Store(reply.Header.Get("Outcome"), true)
					}
					assert.Check(t, c.Close())
				}
			})
		}
		wg.Wait()
		waitFor(t, "end of all requests", func() bool { return e.Waiters() == 0 && e.Requests() == 0 && e.Jobs() == 0 })
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	assert.Equal(t, runs.most, 1)
	assert.Equal(t, runs.running, 0)
	_, complete := answered.Load(entry.Complete.String())
	assert.Assert(t, complete)
	assert.Assert(t, e.Cancels() > 0)
}
