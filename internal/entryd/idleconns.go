package entryd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/ingressd"
)

const (
	// stopPollInterval is the interval between two searches for idle connections.
	stopPollInterval = 10 * time.Millisecond
	// stopIdlePolls is in how many searches a connection of a caller must be idle before a
	// planned stop closes it, which takes 0.2 s. A caller that has just got an answer may be
	// sending its next request, and cannot know whether that request ran if the connection is
	// closed meanwhile. Searches are counted rather than time because a busy machine may keep
	// the process and its callers from running.
	stopIdlePolls = 20
	// stopIdleAge is how long before the stop a connection must have been idle to be closed
	// at once. A leaving entry of internal/fleet ends connections with their answers for
	// longer than that before it stops, so that the stop takes no longer there.
	stopIdleAge = time.Second
	// maxAcceptDelay bounds how long a planned stop accepts connections. A machine under
	// load kept the process from accepting those that waited for more than 0.2 s.
	maxAcceptDelay = time.Second
)

// idleConns knows since when each connection of a server has been idle.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*connUse
}

// connUse is the use of one connection.
type connUse struct {
	idleSince time.Time // zero while a request is in progress
	polls     int       // calls of closeIdle that found it idle
	reads     uint64    // those of the connection when it became idle or at the last of them
}

func newIdleConns() *idleConns { return &idleConns{conns: make(map[net.Conn]*connUse)} }

// connState is the ConnState hook of the server.
func (s *idleConns) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.conns[c] = &connUse{idleSince: time.Now(), reads: readsOf(c)}
	case http.StateActive:
		s.conns[c] = new(connUse)
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// closeIdle closes the connections that were idle in the last stopIdlePolls calls, or since
// stopIdleAge before the stop began, and returns the number of the other ones.
func (s *idleConns) closeIdle(stopBegan time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, use := range s.conns {
		if use.idle(c) && (use.polls > stopIdlePolls || stopBegan.Sub(use.idleSince) >= stopIdleAge) {
			delete(s.conns, c)
			c.Close()
		}
	}
	return len(s.conns)
}

// idle reports whether the connection is idle, and counts that. A connection on which bytes
// have arrived is not, although the server has not got to read the request.
func (u *connUse) idle(c net.Conn) bool {
	if u.idleSince.IsZero() {
		return false
	}
	u.polls++
	w, ok := c.(*ingressd.Conn)
	if !ok {
		return true
	}
	waits := ingressd.InputWaits(w.Socket())
	reads := w.Reads() // after that, or bytes that are read meanwhile would be missed
	if waits || reads != u.reads {
		u.idleSince, u.polls = time.Now(), 0
	}
	u.reads = reads
	return u.polls > 0
}

// readsOf returns how often bytes were read from the connection, 0 if it is not known.
func readsOf(c net.Conn) uint64 {
	if w, ok := c.(*ingressd.Conn); ok {
		return w.Reads()
	}
	return 0
}

// watchedListener accepts connections, which count as open from then on: the server calls the
// ConnState hook a little later.
type watchedListener struct {
	net.Listener
	conns *idleConns
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.connState(c, http.StateNew)
	return c, nil
}

// shutdownCallers ends the connections of callers: those in use with the next answer, the
// others once they have been idle for a time, see closeIdle. Connections that wait to be
// accepted would be reset with the listener, so it stays open while connections are in use,
// for up to stopIdlePolls, and until all that wait are accepted, for up to maxAcceptDelay.
func (e *Entry) shutdownCallers(ctx context.Context) error {
	began := time.Now()
	listening, listener := true, ingressd.Socket(e.callers)
	// One search that finds nothing does not do: a connection that is just being accepted
	// neither waits nor is open.
	for polls, quiet := 0, 0; ctx.Err() == nil; polls++ {
		waiting := listening && ingressd.InputWaits(listener) && time.Since(began) < maxAcceptDelay
		open := e.callerConns.closeIdle(began)
		if open > 0 || waiting {
			quiet = 0
		} else if quiet++; quiet == 2 {
			break
		}
		if listening && !waiting && polls >= stopIdlePolls {
			listening = false
			e.callers.Close()
		}
		ctxsleep.For(ctx, stopPollInterval)
	}
	if err := e.servers[0].Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // the server closed the listener again
}

// closeWhileDraining makes the answers of a draining entry end their connections.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
