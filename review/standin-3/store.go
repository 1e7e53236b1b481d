package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the store, as the settings state them.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	newestItems  = 500
	newestBytes  = 1 << 20
	defaultMaxKB = 1024
	answerDelay  = 4 * time.Millisecond
)

// store is the platform's log. It keeps the whole history of each topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// storePath is the way of one machine to the store.
type storePath struct {
	store *store
	name  string // of the machine
	rec   *recorder
	cut   atomic.Bool // calls are neither carried out nor answered
	// wroteAt is when an append with a value was carried out last, removedAt when one that only
	// removes keys was, in Unix milliseconds.
	wroteAt, removedAt atomic.Int64
	tookOverAt         atomic.Int64 // when the first record was written whose key begins with "t"
}

type topic struct {
	records   [][]byte
	newest    map[string]int // offset of the newest record of each key
	producers map[string]*producer
	changed   chan struct{} // closed and replaced by each append
}

type producer struct {
	epoch, sequence int64
	offset          int64 // of the first record of the last append
	end             int64
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(topicName, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).append([][]byte{append(record, value...)})
}

func (t *topic) append(records [][]byte) int64 {
	first := int64(len(t.records))
	for _, r := range records {
		if len(r) > 0 && int(r[0]) < len(r) {
			key := string(r[1 : 1+int(r[0])])
			if len(r) > 1+int(r[0]) {
				t.newest[key] = len(t.records)
			} else {
				delete(t.newest, key)
			}
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (p *storePath) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /limpettrail/log-append", p.handleAppend)
	mux.HandleFunc("GET /limpettrail/log-read", p.store.handleRead)
	mux.HandleFunc("GET /limpettrail/log-newest", p.store.handleNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.cut.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only then
			<-r.Context().Done()
			return
		}
		time.Sleep(answerDelay)
		mux.ServeHTTP(w, r)
	})
}

// splitRecords divides the body of an append. It returns a status other than 200 for a body
// that the store does not accept.
func splitRecords(body []byte) ([][]byte, int) {
	if len(body) > requestBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, http.StatusBadRequest
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) {
			return nil, http.StatusBadRequest
		}
		if n > recordBytes {
			return nil, http.StatusRequestEntityTooLarge
		}
		records = append(records, body[:n])
		body = body[n:]
	}
	return records, http.StatusOK
}

// note notes what an append writes. An append without records sets an epoch.
func (p *storePath) note(records [][]byte) {
	if len(records) == 0 {
		return
	}
	at, kind := &p.removedAt, "removals only"
	for _, r := range records {
		if len(r) < 2 || len(r) <= 1+int(r[0]) {
			continue
		}
		at, kind = &p.wroteAt, "values"
		if r[1] == 't' {
			p.tookOverAt.CompareAndSwap(0, time.Now().UnixMilli())
		}
	}
	at.Store(time.Now().UnixMilli())
	p.rec.printf("store: append of %s, %d records, %s", p.name, len(records), kind)
}

func (p *storePath) handleAppend(w http.ResponseWriter, r *http.Request) {
	s := p.store
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, status := splitRecords(body)
	if status != http.StatusOK {
		writeReply(w, status, struct{}{})
		return
	}
	p.note(records)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	name := q.Get("producer")
	if name == "" {
		first := t.append(records)
		writeReply(w, http.StatusOK, map[string]int64{"offset": first, "endOffset": int64(len(t.records))})
		return
	}
	epoch, sequence := number(q.Get("epoch")), number(q.Get("sequence"))
	state := t.producers[name]
	if state == nil {
		state = &producer{epoch: -1}
		t.producers[name] = state
	}
	switch {
	case epoch < state.epoch:
		writeReply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case epoch > state.epoch:
		*state = producer{epoch: epoch, sequence: sequence - 1}
	case sequence == state.sequence && len(records) > 0:
		writeReply(w, http.StatusOK, map[string]int64{"offset": state.offset, "endOffset": state.end})
		return
	case sequence != state.sequence+1:
		writeReply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.sequence + 1})
		return
	}
	if len(records) > 0 {
		state.sequence, state.offset = sequence, t.append(records)
		state.end = int64(len(t.records))
	}
	writeReply(w, http.StatusOK, map[string]int64{"offset": state.offset, "endOffset": int64(len(t.records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := int(number(q.Get("from"))), int(number(q.Get("maxKb")))<<10
	if maxBytes == 0 {
		maxBytes = defaultMaxKB << 10
	}
	timeout := time.After(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := t.changed
		waiting = from >= len(t.records)
		s.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(t.records); i++ {
		if i > from && len(out)+len(t.records[i]) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
		out = append(out, t.records[i]...)
	}
	_, _ = w.Write(out)
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("dependsOn") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []newestItem{}, 0
	for _, k := range keys {
		value := base64.StdEncoding.EncodeToString(t.records[t.newest[k]][1+len(k):])
		if len(items) == newestItems || len(items) > 0 && size+len(value) > newestBytes {
			break
		}
		size += len(value)
		items = append(items, newestItem{k, value, t.newest[k]})
	}
	writeReply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "endOffset": len(t.records)})
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // a missing parameter is 0
	return n
}

func writeReply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("standin: %v", err)) // cannot fail: all bodies can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
