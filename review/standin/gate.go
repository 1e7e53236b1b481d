package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeGate forwards the calls of one machine to the store. It can lose the answers of
// writes, or carry writes out late.
type storeGate struct {
	addr   string
	target string
	server *http.Server
	client *http.Client

	mu sync.Mutex
	// onWrite decides what happens to a write; nil means that all are forwarded.
	onWrite func() writeFault
	// turnedAway states that every call is answered with 503.
	turnedAway bool
}

// writeFault is what happens to one write.
type writeFault struct {
	loseAnswer bool          // carried out, but not answered
	delay      time.Duration // with loseAnswer: carried out this much later
}

func startStoreGate(target string) (*storeGate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{addr: l.Addr().String(), target: target, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }() // returns after close
	return g, nil
}

// setFault sets what happens to the writes that follow.
func (g *storeGate) setFault(f func() writeFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onWrite = f
}

// turnAway makes the store turn the machine away, or serve it again.
func (g *storeGate) turnAway(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turnedAway = away
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fault writeFault
	g.mu.Lock()
	if g.turnedAway {
		g.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if g.onWrite != nil && strings.HasSuffix(r.URL.Path, "/log-append") {
		fault = g.onWrite()
	}
	g.mu.Unlock()
	if !fault.loseAnswer {
		g.forward(r.Context(), w, r, body)
		return
	}
	carryOut := func() { g.forward(context.Background(), nil, r, body) }
	if fault.delay > 0 {
		time.AfterFunc(fault.delay, carryOut)
	} else {
		carryOut()
	}
	<-r.Context().Done() // the connection returns nothing further
}

// forward makes the call at the store. Its answer is dropped if w is nil.
func (g *storeGate) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+g.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		if w != nil {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		return
	}
	defer resp.Body.Close()
	if w == nil {
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if resp.StatusCode == http.StatusOK && strings.HasSuffix(r.URL.Path, "/log-read") {
		data = cutRecords(data, r.URL.Query().Get("maxKb"))
	}
	_, _ = w.Write(data) // fails if the caller has left
}

// Layout of the reply to a read: the end and the first offset, then the records, each
// after its length.
const (
	replyHeaderBytes = 16
	lengthBytes      = 4
	defaultMaxKB     = 1024
)

// cutRecords returns the reply to a read with as many of its records as maxKb allows, at
// least one.
func cutRecords(data []byte, maxKb string) []byte {
	limit, err := strconv.Atoi(maxKb)
	if err != nil {
		limit = defaultMaxKB
	}
	at := replyHeaderBytes
	for at+lengthBytes <= len(data) {
		next := at + lengthBytes + int(binary.BigEndian.Uint32(data[at:]))
		if at > replyHeaderBytes && next > limit<<10 {
			return data[:at]
		}
		at = next
	}
	return data
}

func (g *storeGate) close() {
	g.server.Close()
	g.client.CloseIdleConnections()
}
