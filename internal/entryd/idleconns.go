package entryd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
)

const (
	// stopIdleAge is how long a connection of a caller must have been idle before a planned
	// stop closes it. A caller that has just got an answer may be sending its next request,
	// and cannot know whether that request ran if the connection is closed meanwhile. It is
	// less than the time without requests for which a leaving entry of internal/fleet waits
	// before it stops, so that the stop takes no longer there.
	stopIdleAge = 200 * time.Millisecond
	// stopPollInterval is the interval between two searches for idle connections.
	stopPollInterval = 10 * time.Millisecond
)

// idleConns knows since when each connection of a server has been idle.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time // zero while a request is in progress
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// connState is the ConnState hook of the server.
func (s *idleConns) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.since[c] = time.Now()
	case http.StateActive:
		s.since[c] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(s.since, c)
	}
}

// closeIdle closes the connections that have been idle for the given time and returns the
// number of the other ones.
func (s *idleConns) closeIdle(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.since {
		if !since.IsZero() && time.Since(since) >= age {
			delete(s.since, c)
			c.Close()
		}
	}
	return len(s.since)
}

// shutdownCallers ends the connections of callers: those in use with the next answer, the
// others once they have been idle for stopIdleAge. Then it closes the listener. While
// connections are in use, further ones may wait to be accepted, which closing it would
// reset, so it stays open for up to stopIdleAge.
func (e *Entry) shutdownCallers(ctx context.Context) error {
	began := time.Now()
	listening := true
	for e.callerConns.closeIdle(stopIdleAge) > 0 && ctx.Err() == nil {
		if listening && time.Since(began) >= stopIdleAge {
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
