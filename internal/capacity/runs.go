package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	startsPerMeasurement = 4000
	resultTimeout        = 30 * time.Second
)

var agentRuns = experiment{
	name: "agent-runs", sizeUnit: "starts", sizes: []int{1, 4, 8},
	title: "one agent for one frame of that many starts, over sockets and HTTP, including the entry's and the upstream's ends",
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		l, err := net.Listen("tcp", loopbackAddr)
		if err != nil {
			return nil, err
		}
		defer l.Close()
		upstream, err := startUpstream()
		if err != nil {
			return nil, err
		}
		defer upstream.Close()
		a := agentd.Start(agentd.Options{
			Name: "worker-00000", Zone: "zone-0", Rack: "rack-0", Slots: benchSlots,
			UpstreamURL: "http://" + upstream.Addr + "/", Entries: []string{l.Addr().String()},
		})
		defer a.Kill()
		rawConn, err := l.Accept()
		if err != nil {
			return nil, err
		}
		defer rawConn.Close()
		if err := answerHello(rawConn, 1); err != nil {
			return nil, err
		}
		return measureRuns(link.NewConn(rawConn), n)
	},
}

// startUpstream starts an upstream that replies at once. The server's Addr field
// holds its address.
func startUpstream() (*http.Server, error) {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return nil, err
	}
	result := bytes.Repeat([]byte("1"), resultSize)
	s := &http.Server{Addr: l.Addr().String(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Write(result)
	})}
	go s.Serve(l)
	return s, nil
}

// measureRuns repeatedly sends a frame of n starts and waits for their results, and
// returns the cost per frame.
func measureRuns(conn *link.Conn, n int) ([]reading, error) {
	rounds := startsPerMeasurement/n + 1
	starts, _ := sampleFrames(n)
	starts.LowestOpenSeq = 0
	var seq wire.Seq
	before := usageAfterGC()
	for range rounds {
		for i := range starts.Starts {
			seq++
			starts.Starts[i].Seq = seq
		}
		if err := errors.Join(conn.Write(starts), conn.Flush()); err != nil {
			return nil, err
		}
		if err := awaitResults(conn, n); err != nil {
			return nil, err
		}
		starts.LowestOpenSeq = seq + 1
	}
	d := usageDelta(before, currentUsage())
	r := float64(rounds)
	return []reading{{"cpu us", d.cpu / r}, {"allocs", d.allocs / r}, {"alloc B", d.bytes / r}}, nil
}

// awaitResults reads frames until n results arrived. A task that did not succeed is
// an error.
func awaitResults(conn *link.Conn, n int) error {
	for received := 0; received < n; {
		var f wire.ToEntry
		if err := conn.Read(&f, resultTimeout); err != nil {
			return err
		}
		for i := range f.Results {
			if f.Results[i].Outcome != wire.Succeeded {
				return fmt.Errorf("task did not succeed: outcome %s, reason %s", f.Results[i].Outcome, f.Results[i].Reason)
			}
			received++
		}
	}
	return nil
}
