package entryd_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

// pairScheduler reports one pair as found with the first call and as ended once end is
// closed.
type pairScheduler struct {
	policy.Scheduler
	end   chan struct{}
	found bool
	ended bool
}

var testPair = interference.Pair{Victim: "c", Neighbour: "d", Effect: 0.125, Error: 0.02, Runs: 900, Agents: 11, Since: 1}

func (s *pairScheduler) InterferencePairs() []interference.Pair {
	if s.found && !s.ended {
		return []interference.Pair{testPair}
	}
	return nil
}

func (s *pairScheduler) InterferenceChanges(time.Duration) []interference.Change {
	if !s.found {
		s.found = true
		return []interference.Change{{Pair: testPair, Found: true}}
	}
	select {
	case <-s.end:
		if !s.ended {
			s.ended = true
			return []interference.Change{{Pair: testPair}}
		}
	default:
	}
	return nil
}

func metricsOf(t *testing.T, url string) string {
	resp, err := http.Get(url + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// Guards against pairs that operators do not see in the log, the metrics and the status,
// and against an entry that does not ask agents for neighbours.
func TestInterferenceIsShownToOperators(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	s := &pairScheduler{Scheduler: policy.NewLeastBusy(), end: make(chan struct{})}
	e, err := entryd.Start(entryd.Options{
		Listen: loopback, PeerListen: loopback, OperatorListen: loopback, Scheduler: s,
		ReportNeighbours: true, Log: eventlog.New(zap.New(core), "entry", 1),
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		e.Kill()
	})
	url := "http://" + e.OperatorAddr()
	waitFor(t, "interference_found", func() bool { return logged.FilterMessage("interference_found").Len() == 1 })
	fields := logged.FilterMessage("interference_found").All()[0].ContextMap()
	assert.Equal(t, fields["class"], "c")
	assert.Equal(t, fields["peer"], "d")
	assert.Equal(t, fields["detail"], "each slot adds 12.5% (standard error 2.0%), 11 agents")
	assert.Assert(t, strings.Contains(request(t, "GET", url+"/status", "").raw, `"interference":[{"victim":"c","neighbour":"d","effect":0.125,"error":0.02,"runs":900,"agents":11,"since_ms":`))
	const metric = `limpettrail_interference_thousandths{victim="c",neighbour="d"} `
	assert.Assert(t, strings.Contains(metricsOf(t, url), metric+"125\n"))
	close(s.end)
	waitFor(t, "interference_ended", func() bool { return logged.FilterMessage("interference_ended").Len() == 1 })
	assert.Assert(t, strings.Contains(metricsOf(t, url), metric+"0\n"))
	assert.Assert(t, !strings.Contains(request(t, "GET", url+"/status", "").raw, "interference"))

	raw, err := net.Dial("tcp", e.PeerAddr())
	assert.NilError(t, err)
	conn := link.NewConn(raw)
	defer conn.Close()
	var reply wire.EntryHello
	assert.NilError(t, errors.Join(conn.WritePreface(), conn.Write(wire.AgentHello{Protocol: wire.ProtocolVersion, Agent: 77, Epoch: 1, Name: "fake", Slots: 8}),
		conn.Flush(), conn.Read(&reply, time.Minute)))
	assert.Assert(t, reply.ReportNeighbours)
}
