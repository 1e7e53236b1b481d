package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// listedAtOnce is how many ends one answer lists.
	listedAtOnce = 500
	fullCPU      = 64000 // thousandths of a core
	fullMemMb    = 131072
	slots        = 8
	// startupTime is how long a lasting task takes until it is at work.
	startupTime = 300 * time.Millisecond
	lapseCheck  = 5 * time.Millisecond
)

// runKey identifies a run at a worker.
type runKey struct {
	task    string
	attempt int
}

// activeRun is a run that goes on.
type activeRun struct {
	*run
	cpu   int64
	timer *time.Timer // ends it; nil for a task that lasts
}

// worker is a stand-in of an executor, written from the users' page.
type worker struct {
	id      string
	addr    string
	control string // where it registers
	ledger  *ledger
	born    time.Time
	server  *http.Server
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	cpu      int64 // current capacity
	sequence int64
	token    int64
	leaseEnd time.Duration // on its own clock
	lapses   int
	lapsed   bool // the lease is over since the last renewal
	running  map[runKey]*activeRun
	closed   map[string]int // highest attempt that was stopped or has ended
	ends     []*run         // ends[i] has number i+1
	lapsesAt []int          // lapses when the end was added
	seen     int            // ends up to this number are forgotten
	starts   int
	wake     chan struct{}
	// fails decides whether the nth start at this worker ends as failed.
	fails func(n int) bool
}

func startWorker(id, addr, control string, l *ledger) (*worker, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &worker{
		id: id, addr: addr, control: control, ledger: l, born: time.Now(), stop: stop, cpu: fullCPU,
		running: make(map[runKey]*activeRun), closed: make(map[string]int), wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /limpettrail/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /limpettrail/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /limpettrail/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }() // returns after close
	w.wg.Go(func() { w.beat(ctx) })
	w.wg.Go(func() { w.watchLease(ctx) })
	return w, nil
}

func (w *worker) close() {
	w.stop()
	w.server.Close()
	w.wg.Wait()
}

// setCPU changes the capacity, which the next heartbeat shows.
func (w *worker) setCPU(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpu = cpu
}

// clock returns the time on the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// call is the body of every call.
type call struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// reply is the body of every answer.
type reply struct {
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// handle decodes a call and encodes its answer.
func (w *worker) handle(next func(context.Context, *call) (int, reply)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expected-Executor"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c := new(call)
		if json.NewDecoder(r.Body).Decode(c) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := next(r.Context(), c)
		body.ClockMs = w.clock().Milliseconds()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body) // fails if the caller has left
	}
}

// accept checks the fencing token. w.mu is held.
func (w *worker) accept(c *call) bool {
	if c.Token < w.token {
		return false
	}
	w.token = c.Token
	return true
}

// renew extends the lease. w.mu is held.
func (w *worker) renew(deadlineMs int64) {
	w.checkLease()
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax)
	if until > w.leaseEnd {
		w.leaseEnd = until
	}
	if w.leaseEnd > w.clock() {
		w.lapsed = false
	}
}

// checkLease ends everything that runs if the lease has expired. w.mu is held.
func (w *worker) checkLease() {
	if w.lapsed || w.clock() <= w.leaseEnd {
		return
	}
	w.lapsed = true
	w.lapses++
	for key := range w.running {
		w.end(key, endLapsed)
	}
}

func (w *worker) watchLease(ctx context.Context) {
	t := time.NewTicker(lapseCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			w.checkLease()
			w.mu.Unlock()
		}
	}
}

func conflict(reason string) (int, reply) { return http.StatusConflict, reply{Reason: reason} }

func (w *worker) runStart(_ context.Context, c *call) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(c) {
		return conflict("fence")
	}
	key := runKey{c.Task, c.Attempt}
	if w.running[key] != nil {
		w.renew(c.DeadlineMs)
		return http.StatusOK, reply{}
	}
	if time.Duration(c.DeadlineMs)*time.Millisecond < w.clock() {
		return conflict("late")
	}
	w.renew(c.DeadlineMs)
	if c.Attempt <= w.closed[c.Task] {
		return conflict("old")
	}
	step, known := w.ledger.phaseOf(c.Task)
	if !known {
		w.ledger.rec.printf("start of %s, which no caller sent", c.Task)
		return http.StatusBadRequest, reply{}
	}
	used := int64(0)
	for _, r := range w.running {
		used += r.cpu
	}
	if used+step.CPU > w.cpu {
		return conflict("room")
	}
	w.begin(key, c.Spec, step.CPU)
	return http.StatusOK, reply{}
}

// begin starts a run. w.mu is held.
func (w *worker) begin(key runKey, spec string, cpu int64) {
	w.starts++
	r := &activeRun{run: &run{task: key.task, attempt: key.attempt, worker: w.id, started: time.Now()}, cpu: cpu}
	how := endDone
	if w.fails != nil && w.fails(w.starts) {
		how = endFailed
	}
	var ms int64
	if _, err := fmt.Sscanf(spec, "run %d ms", &ms); err == nil && ms > 0 {
		r.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.checkLease()
			if w.running[key] == r {
				w.end(key, how)
			}
		})
	}
	w.running[key] = r
	w.ledger.start(r.run)
}

// end ends a run. w.mu is held.
func (w *worker) end(key runKey, how string) {
	r := w.running[key]
	delete(w.running, key)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.closed[key.task] = max(w.closed[key.task], key.attempt)
	w.ends = append(w.ends, r.run)
	w.lapsesAt = append(w.lapsesAt, w.lapses)
	w.ledger.with(func() { r.ended, r.how, r.number = time.Now(), how, len(w.ends) })
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) runStop(_ context.Context, c *call) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(c) {
		return conflict("fence")
	}
	key := runKey{c.Task, c.Attempt}
	if w.running[key] != nil {
		w.end(key, endStopped)
	}
	w.closed[c.Task] = max(w.closed[c.Task], c.Attempt)
	return http.StatusOK, reply{}
}

func (w *worker) hold(ctx context.Context, c *call) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(c) {
		return conflict("fence")
	}
	w.checkLease()
	w.note(c.LastSeen)
	if c.DeadlineMs > 0 {
		w.renew(c.DeadlineMs)
	}
	w.awaitEnd(ctx, time.Duration(min(c.WaitMs, 2000))*time.Millisecond)
	out := reply{Born: w.born.UnixMilli()}
	for key, r := range w.running {
		percent := 100
		if r.timer == nil && time.Since(r.started) < startupTime {
			percent = 0
		}
		out.Running = append(out.Running, []any{key.task, key.attempt, "", percent, 0})
	}
	now := time.Now()
	for i := w.seen; i < len(w.ends) && len(out.Finished) < listedAtOnce; i++ {
		r := w.ends[i]
		out.Finished = append(out.Finished, []any{r.number, r.task, r.attempt, r.how, ""})
		w.ledger.with(func() {
			if r.listed.IsZero() {
				r.listed = now
			}
		})
	}
	return http.StatusOK, out
}

// note forgets the ends up to a number. w.mu is held.
func (w *worker) note(upTo int) {
	now := time.Now()
	for ; w.seen < min(upTo, len(w.ends)); w.seen++ {
		r, lapsed := w.ends[w.seen], w.lapsesAt[w.seen] < w.lapses
		w.ledger.with(func() { r.noted, r.lapsed = now, lapsed })
	}
}

// awaitEnd waits until an end is to be listed. w.mu is held, but not while it waits.
func (w *worker) awaitEnd(ctx context.Context, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for limit > 0 && w.seen >= len(w.ends) {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-timeout.C:
			limit = 0
		case <-ctx.Done():
			limit = 0
		}
		w.mu.Lock()
	}
}

// beat registers at the agent of its machine again and again.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := beatInterval
		if !w.sendBeat(ctx) {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) sendBeat(ctx context.Context) bool {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": w.addr, "zone": "z0", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": w.cpu, "memMb": fullMemMb, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clockMs": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		panic(err) // cannot fail: all values can be encoded
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + w.control + "/limpettrail/executors/" + w.id + "/heartbeat"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // cannot fail: the address is valid
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}
