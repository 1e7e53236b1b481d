package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = time.Second // holdMaxMs of the settings
	workerStep        = 2 * time.Millisecond
	maxListedEnds     = 500
)

// workerOptions describe an executor.
type workerOptions struct {
	id        string
	addr      string // where it serves the calls of its agent
	agentAddr string
	zone      string
	kind      string
	rack      string
	cpu       int64
	memMb     int64
}

// worker is a stand-in for a sound executor.
type worker struct {
	opts   workerOptions
	sys    *system
	server *http.Server
	done   chan struct{}

	mu       sync.Mutex
	born     time.Time
	sequence int64
	cpu      int64 // current capacity
	token    int64
	leaseEnd time.Duration // on its clock
	running  map[string]*taskRun
	closed   map[string]int // highest attempt of each task that was stopped or has ended
	ended    []taskEnd
	seen     int   // ends up to this number are forgotten
	reported int64 // capacity of the last heartbeat that was acknowledged
	grey     bool  // what it starts fails
	wake     chan struct{}
}

// taskRun is a run in progress.
type taskRun struct {
	task    string
	attempt int
	cpu     int64
	endsAt  time.Time // zero for a task that lasts
	fails   bool      // it ends by its own fault
}

// taskEnd is a run that has ended.
type taskEnd struct {
	number  int
	task    string
	attempt int
	how     string
}

func (s *system) startWorker(opts workerOptions) (*worker, error) {
	l, err := net.Listen("tcp", opts.addr)
	if err != nil {
		return nil, err
	}
	w := &worker{
		opts: opts, sys: s, done: make(chan struct{}), born: time.Now(), cpu: opts.cpu,
		running: make(map[string]*taskRun), closed: make(map[string]int), wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /limpettrail/run-start", w.handle(w.startRun))
	mux.HandleFunc("POST /limpettrail/run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /limpettrail/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	go w.stepLoop()
	go w.heartbeatLoop()
	return w, nil
}

func (w *worker) close() {
	close(w.done)
	w.server.Close()
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// workerCall is the body of every call.
type workerCall struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// workerReply is the body of every answer.
type workerReply struct {
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

func (w *worker) handle(f func(*workerCall) (int, workerReply)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		call := new(workerCall)
		if json.NewDecoder(r.Body).Decode(call) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Expected-Executor"); id != "" && id != w.opts.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		status, reply := f(call)
		reply.ClockMs = w.clock().Milliseconds()
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		json.NewEncoder(rw).Encode(reply)
	}
}

// accept checks the token of a call and extends the lease. The caller holds the lock.
func (w *worker) accept(call *workerCall) bool {
	w.step()
	if call.Token < w.token {
		return false
	}
	w.token = call.Token
	if d := time.Duration(call.DeadlineMs) * time.Millisecond; d > 0 {
		w.leaseEnd = max(w.leaseEnd, min(d, w.clock()+maxLease))
	}
	return true
}

func refused(reason string) (int, workerReply) {
	return http.StatusConflict, workerReply{Reason: reason}
}

func runKey(task string, attempt int) string { return task + "#" + strconv.Itoa(attempt) }

func (w *worker) startRun(call *workerCall) (int, workerReply) {
	if !w.accept(call) {
		return refused("fence")
	}
	key := runKey(call.Task, call.Attempt)
	if w.running[key] != nil {
		return http.StatusOK, workerReply{}
	}
	need, used := specField(call.Spec, "cpu"), int64(0)
	for _, r := range w.running {
		used += r.cpu
	}
	switch {
	case time.Duration(call.DeadlineMs)*time.Millisecond < w.clock():
		return refused("late")
	case call.Attempt <= w.closed[call.Task]:
		return refused("old")
	case used+need > w.cpu:
		return refused("room")
	}
	r := &taskRun{task: call.Task, attempt: call.Attempt, cpu: need, fails: w.grey}
	if ms := specField(call.Spec, "run"); ms > 0 {
		r.endsAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	w.running[key] = r
	w.sys.noteRun(runEvent{at: time.Now(), worker: w.opts.id, task: call.Task, attempt: call.Attempt, what: "start"})
	return http.StatusOK, workerReply{}
}

func (w *worker) stopRun(call *workerCall) (int, workerReply) {
	if !w.accept(call) {
		return refused("fence")
	}
	if w.running[runKey(call.Task, call.Attempt)] != nil {
		w.end(runKey(call.Task, call.Attempt), "stopped")
	}
	w.closed[call.Task] = max(w.closed[call.Task], call.Attempt)
	return http.StatusOK, workerReply{}
}

// hold returns both lists. It waits for an end, and unlocks the worker meanwhile.
func (w *worker) hold(call *workerCall) (int, workerReply) {
	if !w.accept(call) {
		return refused("fence")
	}
	w.seen = max(w.seen, min(call.LastSeen, len(w.ended)))
	deadline := time.Now().Add(time.Duration(call.WaitMs) * time.Millisecond)
	for len(w.ended) <= w.seen && time.Now().Before(deadline) {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(deadline)):
		}
		w.mu.Lock()
	}
	w.step()
	out := workerReply{Born: w.born.UnixMilli()}
	for _, r := range w.running {
		out.Running = append(out.Running, []any{r.task, r.attempt, "", 100, r.cpu})
	}
	for _, e := range w.ended[w.seen:min(len(w.ended), w.seen+maxListedEnds)] {
		out.Finished = append(out.Finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, out
}

// end ends a run. The caller holds the lock.
func (w *worker) end(key, how string) {
	r := w.running[key]
	delete(w.running, key)
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	w.ended = append(w.ended, taskEnd{number: len(w.ended) + 1, task: r.task, attempt: r.attempt, how: how})
	w.sys.noteRun(runEvent{at: time.Now(), worker: w.opts.id, task: r.task, attempt: r.attempt, what: how})
	close(w.wake)
	w.wake = make(chan struct{})
}

// step ends the runs that are due. The caller holds the lock.
func (w *worker) step() {
	for key, r := range w.running {
		switch {
		case w.clock() > w.leaseEnd:
			w.end(key, "lapsed")
		case r.endsAt.IsZero() || time.Now().Before(r.endsAt):
		case r.fails:
			w.end(key, "failed")
		default:
			w.end(key, "done")
		}
	}
}

func (w *worker) stepLoop() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(workerStep):
		}
		w.mu.Lock()
		w.step()
		w.mu.Unlock()
	}
}

// setCPU changes the capacity, which the next heartbeat states.
func (w *worker) setCPU(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpu = cpu
	w.sys.rec.printf("executor %s: capacity is now %d thousandths of a core", w.opts.id, cpu)
}

// setGrey sets whether all runs that begin from now on fail.
func (w *worker) setGrey(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = on
	w.sys.rec.printf("executor %s: fails all that it starts: %v", w.opts.id, on)
}

func (w *worker) heartbeatLoop() {
	for {
		w.heartbeat()
		select {
		case <-w.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.opts.addr, "zone": w.opts.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.opts.memMb, "gpu": 0},
		"labels":   []string{w.opts.kind, w.opts.rack}, "clockMs": w.clock().Milliseconds(),
	})
	cpu := w.cpu
	w.mu.Unlock()
	if err != nil || postHeartbeat(w.opts.agentAddr, w.opts.id, body) != http.StatusOK {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if cpu != w.reported {
		w.reported = cpu
		w.sys.rec.printf("executor %s: a heartbeat with the capacity %d was acknowledged", w.opts.id, cpu)
	}
}

// postHeartbeat sends a heartbeat and returns the status, 0 for no answer within a second.
func postHeartbeat(agentAddr, id string, body []byte) int {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("http://%s/limpettrail/executors/%s/heartbeat", agentAddr, id)
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// specField returns a number from a spec such as "cpu=500 run=40", 0 if it is not there.
func specField(spec, name string) int64 {
	for _, f := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(f, name+"="); ok {
			n, _ := strconv.ParseInt(value, 10, 64)
			return n
		}
	}
	return 0
}
