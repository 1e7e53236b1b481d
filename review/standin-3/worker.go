package main

import (
	"bytes"
	"context"
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
	workerCPU     = 64000
	workerMemMB   = 131072
	workerSlots   = 8
	heartbeat     = 1500 * time.Millisecond
	maxHold       = time.Second
	workerStep    = 2 * time.Millisecond
	maxListedEnds = 500
)

// worker is an executor of the platform's page. The spec of a task states its run time in
// milliseconds, "ms=300", and what it takes, "cpu=500".
type worker struct {
	id, addr, heartbeatURL, zone, rack string
	rec                                *recorder
	mux                                *http.ServeMux
	done                               chan struct{}
	wg                                 sync.WaitGroup

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	sequence int
	token    int64
	leaseEnd time.Duration
	running  map[string]*taskRun // by task and attempt
	closed   map[string]int      // highest attempt of each task that has ended or was stopped
	ended    []endedTask
	lastSeen int
	dark     bool // answers nothing and sends nothing
	wake     chan struct{}
	starts   map[string]int // by task
}

type taskRun struct {
	task    string
	attempt int
	cpu     int64
	endsAt  time.Time
}

type endedTask struct {
	number  int
	task    string
	attempt int
	how     string
}

type workerCall struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int    `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func startWorker(s *system, i int, m *machine) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-7f3a91%02x", i), addr: fmt.Sprintf("%s:%d", m.ip, workerPort), zone: m.zone, rack: fmt.Sprintf("r1-%d", i/3),
		rec: s.rec, done: make(chan struct{}), born: time.Now(), mux: http.NewServeMux(),
		running: make(map[string]*taskRun), closed: make(map[string]int), wake: make(chan struct{}), starts: make(map[string]int),
	}
	w.heartbeatURL = fmt.Sprintf("http://%s:%d/limpettrail/executors/%s/heartbeat", m.ip, controlPort, w.id)
	w.mux.HandleFunc("POST /limpettrail/run-start", w.handle(w.startRun))
	w.mux.HandleFunc("POST /limpettrail/run-stop", w.handle(w.stopRun))
	w.mux.HandleFunc("POST /limpettrail/hold", w.handle(w.hold))
	if err := w.listen(); err != nil {
		return nil, err
	}
	w.wg.Add(2)
	go w.sendHeartbeats()
	go w.work()
	return w, nil
}

func (w *worker) close() {
	close(w.done)
	w.mu.Lock()
	w.server.Close()
	w.mu.Unlock()
	w.wg.Wait()
}

// setDark makes the worker crash: it loses what runs there, and answers and sends nothing.
func (w *worker) setDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = true
	for _, r := range w.running {
		w.rec.printf("worker %s: run %d of %s is lost", w.id, r.attempt, r.task)
	}
	w.running = make(map[string]*taskRun)
	w.rec.printf("worker %s: lost, answers nothing from now on", w.id)
}

// crash ends the worker's process for good: connections break and new ones are refused.
func (w *worker) crash() {
	w.mu.Lock()
	w.dark = true
	server := w.server
	for _, r := range w.running {
		w.rec.printf("worker %s: run %d of %s is lost", w.id, r.attempt, r.task)
	}
	w.running = make(map[string]*taskRun)
	w.rec.printf("worker %s: crashes", w.id)
	w.mu.Unlock()
	server.Close()
}

// listen serves the calls of the agent.
func (w *worker) listen() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // returns after Close
	return nil
}

func (w *worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// startsOf returns how often tasks whose names begin with a prefix were started.
func (w *worker) startsOf(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, count := range w.starts {
		if strings.HasPrefix(task, prefix) {
			n += count
		}
	}
	return n
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) sendHeartbeats() {
	defer w.wg.Done()
	client := &http.Client{Timeout: time.Second}
	for {
		if !w.isDark() {
			w.mu.Lock()
			w.sequence++
			body, err := json.Marshal(map[string]any{
				"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
				"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0},
				"labels": []string{"a", w.rack}, "clockMs": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
			})
			w.mu.Unlock()
			if err != nil {
				panic(fmt.Sprintf("standin: %v", err)) // cannot fail: all values can be encoded
			}
			if resp, err := client.Post(w.heartbeatURL, "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
			}
		}
		select {
		case <-w.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// work ends runs that are done and those whose lease has expired.
func (w *worker) work() {
	defer w.wg.Done()
	t := time.NewTicker(workerStep)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
		}
		w.mu.Lock()
		w.expire()
		for key, r := range w.running {
			if time.Now().After(r.endsAt) {
				w.end(key, "done")
			}
		}
		w.mu.Unlock()
	}
}

// expire ends all runs if the lease has expired. The caller holds the lock.
func (w *worker) expire() {
	if w.clock() <= w.leaseEnd {
		return
	}
	for key := range w.running {
		w.end(key, "lapsed")
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(key, how string) {
	r := w.running[key]
	delete(w.running, key)
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	w.ended = append(w.ended, endedTask{len(w.ended) + 1, r.task, r.attempt, how})
	w.rec.printf("worker %s: run %d of %s ended %s", w.id, r.attempt, r.task, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) handle(next func(context.Context, *workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		call := new(workerCall)
		if json.NewDecoder(r.Body).Decode(call) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if w.isDark() {
			<-r.Context().Done()
			return
		}
		if expected := r.Header.Get("X-Expected-Executor"); expected != "" && expected != w.id {
			writeReply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock().Milliseconds()})
			return
		}
		status, body := next(r.Context(), call)
		if w.isDark() {
			<-r.Context().Done()
			return
		}
		body["clockMs"] = w.clock().Milliseconds()
		writeReply(rw, status, body)
	}
}

// accept checks the token of a call and extends the lease. The caller holds the lock.
func (w *worker) accept(call *workerCall) bool {
	w.expire()
	if call.FencingToken < w.token {
		return false
	}
	w.token = call.FencingToken
	if d := time.Duration(call.DeadlineMs) * time.Millisecond; d > 0 {
		w.leaseEnd = max(w.leaseEnd, min(d, w.clock()+maxHold))
	}
	return true
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func runKey(task string, attempt int) string { return task + "#" + strconv.Itoa(attempt) }

func (w *worker) startRun(_ context.Context, call *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := time.Duration(call.DeadlineMs)*time.Millisecond < w.clock()
	if !w.accept(call) {
		return refuse("fence")
	}
	key := runKey(call.Task, call.Attempt)
	if w.running[key] != nil {
		return http.StatusOK, map[string]any{}
	}
	need, used := specValue(call.Spec, "cpu="), int64(0)
	for _, r := range w.running {
		used += r.cpu
	}
	switch {
	case late:
		return refuse("late")
	case call.Attempt <= w.closed[call.Task]:
		return refuse("old")
	case used+need > workerCPU:
		return refuse("room")
	}
	w.starts[call.Task]++
	w.running[key] = &taskRun{call.Task, call.Attempt, need, time.Now().Add(time.Duration(specValue(call.Spec, "ms=")) * time.Millisecond)}
	w.rec.printf("worker %s: run %d of %s begins", w.id, call.Attempt, call.Task)
	return http.StatusOK, map[string]any{}
}

// specValue returns the number behind a name in a spec, 0 if there is none.
func specValue(spec, name string) int64 {
	for field := range strings.FieldsSeq(spec) {
		if rest, ok := strings.CutPrefix(field, name); ok {
			return number(rest)
		}
	}
	return 0
}

func (w *worker) stopRun(_ context.Context, call *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(call) {
		return refuse("fence")
	}
	if key := runKey(call.Task, call.Attempt); w.running[key] != nil {
		w.end(key, "stopped")
	}
	w.closed[call.Task] = max(w.closed[call.Task], call.Attempt)
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(ctx context.Context, call *workerCall) (int, map[string]any) {
	deadline := time.After(time.Duration(call.WaitMs) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(call) {
		return refuse("fence")
	}
	w.lastSeen = max(w.lastSeen, call.LastSeen)
	for waiting := call.WaitMs > 0; waiting && len(w.ended) <= call.LastSeen; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-deadline:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	w.expire()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, "", 100, r.cpu})
	}
	for _, e := range w.ended[min(w.lastSeen, len(w.ended)):] {
		if len(finished) == maxListedEnds {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished, "born": w.born.UnixMilli()}
}
