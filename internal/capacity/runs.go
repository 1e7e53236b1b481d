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
	runTasks = 4000
	runBound = 30 * time.Second
)

var agentRuns = experiment{
	name: "agent-runs", size: "starts", sizes: []int{1, 4, 8},
	title: "one agent for one frame of that many starts, over sockets and HTTP, the entry's and the upstream's end included",
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		l, err := net.Listen("tcp", loopback)
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
		raw, err := l.Accept()
		if err != nil {
			return nil, err
		}
		defer raw.Close()
		if err := answerHello(raw, 1); err != nil {
			return nil, err
		}
		return runThrough(link.NewConn(raw), n)
	},
}

// startUpstream serves an upstream that answers at once. Its address is in Addr.
func startUpstream() (*http.Server, error) {
	l, err := net.Listen("tcp", loopback)
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

// runThrough sends frames of n starts and waits for their results each time.
func runThrough(conn *link.Conn, n int) ([]reading, error) {
	rounds := runTasks/n + 1
	starts, _ := sampleFrames(n)
	starts.LowestOpenSeq = 0
	var seq wire.Seq
	before := settled()
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
	d := since(before, sample())
	r := float64(rounds)
	return []reading{{"cpu us", d.cpu / r}, {"allocs", d.allocs / r}, {"alloc B", d.bytes / r}}, nil
}

func awaitResults(conn *link.Conn, n int) error {
	for got := 0; got < n; {
		var f wire.ToEntry
		if err := conn.Read(&f, runBound); err != nil {
			return err
		}
		for i := range f.Results {
			if f.Results[i].Outcome != wire.Succeeded {
				return fmt.Errorf("task ended as %s, %s", f.Results[i].Outcome, f.Results[i].Reason)
			}
			got++
		}
	}
	return nil
}
