package logserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/limpettrail/limpettrail/platformlog"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	return mux
}

// appendFault is the fault injected into one append.
type appendFault struct {
	Faults
	loseRequest, loseReply, late bool
}

// takeAppendFault selects the fault for one append and decrements its count.
// Late appends come first, then lost requests, then lost replies.
func (s *Server) takeAppendFault() appendFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := appendFault{Faults: s.faults}
	switch {
	case s.faults.Outage || s.faults.Unresponsive:
	case s.faults.LateAppends > 0:
		s.faults.LateAppends--
		f.late = true
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		f.loseRequest = true
	case s.faults.LoseReplies > 0:
		s.faults.LoseReplies--
		f.loseReply = true
	}
	return f
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	id, err := platformlog.ParseRecordID(r.URL.Query().Get("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f := s.takeAppendFault()
	if s.injectOutage(w, r, f.Faults) {
		return
	}
	if f.loseRequest {
		panic(http.ErrAbortHandler)
	}
	if wait, ok := s.takeToken(); !ok {
		w.Header().Set(platformlog.HeaderRetryAfterMillis, strconv.FormatInt(wait.Milliseconds()+1, 10))
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	name := r.PathValue("stream")
	if f.late {
		s.appendLater(name, id, body, time.Duration(f.LateByMillis)*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	s.pause(r, s.opts.AppendDelay+time.Duration(f.AppendDelayMillis)*time.Millisecond)
	pos := s.append(name, id, body)
	if f.loseReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, platformlog.AppendReply{Offset: pos.Offset, TimeMicros: pos.Time.Microseconds()})
}

// appendLater appends a record after a delay, unless the server stops first.
func (s *Server) appendLater(name string, id platformlog.RecordID, body []byte, after time.Duration) {
	s.wg.Go(func() {
		t := time.NewTimer(after)
		defer t.Stop()
		select {
		case <-t.C:
			s.append(name, id, body)
		case <-s.stop:
		}
	})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.counts.Reads++
	s.mu.Unlock()
	if s.injectOutage(w, r, f) {
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(q.Get("max"))
	waitMillis, _ := strconv.Atoi(q.Get("wait_ms"))
	if !s.pause(r, time.Duration(f.ReadDelayMillis)*time.Millisecond) {
		return
	}
	wait := min(time.Duration(waitMillis)*time.Millisecond, platformlog.MaxWait)
	s.waitForRecord(r, r.PathValue("stream"), from, wait)
	s.mu.Lock()
	f = s.faults
	s.mu.Unlock()
	if s.injectOutage(w, r, f) { // the fault was injected during the long poll
		return
	}
	reply, expired := s.read(r.PathValue("stream"), from, limit)
	status := http.StatusOK
	if expired {
		status = http.StatusGone
	}
	writeJSON(w, status, reply)
}

// injectOutage applies the faults Outage and Unresponsive. It returns true if it has
// replied, and aborts the connection of a request that hung.
func (s *Server) injectOutage(w http.ResponseWriter, r *http.Request, f Faults) bool {
	switch {
	case f.Unresponsive:
		select {
		case <-r.Context().Done():
		case <-s.stop:
		}
		panic(http.ErrAbortHandler)
	case f.Outage:
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
		return true
	}
	return false
}

// pause waits for d. It returns false if the request is cancelled or the server
// stops first.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
	case <-s.stop:
	}
	return false
}

// waitForRecord waits until the stream has a record at or after offset from, but
// no longer than wait.
func (s *Server) waitForRecord(r *http.Request, name string, from int64, wait time.Duration) {
	s.mu.Lock()
	st := s.stream(name)
	ready := len(st.records) > 0
	if from != platformlog.FromOldest {
		ready = from < st.next()
	}
	changed := st.changed
	s.mu.Unlock()
	if ready || wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.Context().Done():
	case <-s.stop:
	}
}

// read returns a bounded batch. The second result is whether from is below the
// oldest offset.
func (s *Server) read(name string, from int64, limit int) (platformlog.ReadReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	st := s.stream(name)
	reply := platformlog.ReadReply{Oldest: st.base, Next: st.next(), NowMicros: s.now().Microseconds()}
	if from == platformlog.FromOldest {
		from = st.base
	}
	if from < st.base {
		return reply, true
	}
	if limit <= 0 || limit > platformlog.MaxBatchRecords {
		limit = platformlog.MaxBatchRecords
	}
	size := 0
	for i := from - st.base; i < int64(len(st.records)) && len(reply.Records) < limit; i++ {
		rec := st.records[i]
		size += len(rec.Body)
		if size > platformlog.MaxBatchBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, platformlog.RecordReply{
			Offset: rec.Offset, TimeMicros: rec.Time.Microseconds(), ID: rec.ID.String(), Body: rec.Body,
		})
	}
	return reply, false
}

// ControlRequest is the JSON body of POST /control. Absent fields change nothing.
type ControlRequest struct {
	Faults        *Faults `json:"faults,omitempty"`
	AdvanceMillis int64   `json:"advance_ms,omitempty"`
	// ExpireStream names the stream whose records below offset ExpireBelow are
	// removed.
	ExpireStream string `json:"expire_stream,omitempty"`
	ExpireBelow  int64  `json:"expire_below,omitempty"`
}

// ControlReply is the JSON reply to GET /control and POST /control.
type ControlReply struct {
	Faults  Faults           `json:"faults"`
	Counts  Counts           `json:"counts"`
	Streams map[string]int64 `json:"streams"` // next offset of each stream
}

func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.state())
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var c ControlRequest
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.ApplyControl(c)
		writeJSON(w, http.StatusOK, s.state())
	})
	return mux
}

// ApplyControl executes one control request.
func (s *Server) ApplyControl(c ControlRequest) {
	if c.Faults != nil {
		s.SetFaults(*c.Faults)
	}
	s.AdvanceLogTime(time.Duration(c.AdvanceMillis) * time.Millisecond)
	if c.ExpireStream != "" {
		s.ExpireBelow(c.ExpireStream, c.ExpireBelow)
	}
}

func (s *Server) state() ControlReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ControlReply{Faults: s.faults, Counts: s.counts, Streams: make(map[string]int64)}
	for name, st := range s.streams {
		out.Streams[name] = st.next()
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
