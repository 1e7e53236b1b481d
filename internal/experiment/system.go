// Package experiment measures how the published configuration is kept and
// distributed through the platform's log: how long a change takes to be in effect
// in every process, how soon the system completes jobs after a restart of every
// process, how many appends a change costs, and how often the idle system appends
// to and reads from the log.
//
// Entries and agents run in this process, communicate over loopback sockets, and
// are killed and started again as crashed processes would be.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/entrynode"
	"github.com/limpettrail/limpettrail/internal/loopback"
	"github.com/limpettrail/limpettrail/internal/operator"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/platformlog"
)

const (
	slots        = 8
	pollInterval = 2 * time.Millisecond
	// waitTimeout bounds every wait. A measurement that exceeds it fails.
	waitTimeout = time.Minute
)

// system is a set of entries and agents that can be killed and started again, with
// the log and the upstream that they use.
type system struct {
	log      *logserver.Server
	client   *platformlog.Client
	upstream *upstream.Server
	entries  []*entrynode.Node
	peers    []string // peer addresses of the entries, kept across restarts
	agents   []*agentd.Agent
}

func startSystem(entries, agents int) (*system, error) {
	s := &system{entries: make([]*entrynode.Node, entries), agents: make([]*agentd.Agent, agents)}
	var err error
	if s.log, err = logserver.Start(logserver.Options{Listen: loopback.AnyPort}); err != nil {
		return nil, err
	}
	s.client = platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.log.URL()})
	if s.upstream, err = upstream.Start(loopback.AnyPort, upstream.Options{}); err != nil {
		return nil, err
	}
	for range entries {
		s.peers = append(s.peers, loopback.UniqueAddr())
	}
	for i := range entries {
		if err := s.startEntry(i); err != nil {
			return nil, err
		}
		s.peers[i] = s.entries[i].PeerAddr()
	}
	for i := range agents {
		s.startAgent(i)
	}
	return s, nil
}

func (s *system) startEntry(i int) error {
	zone := fmt.Sprintf("zone-%d", i%3)
	n, err := entrynode.Start(entrynode.Options{
		Entry: entryd.Options{
			Name: fmt.Sprintf("entry-%d", i), Zone: zone, Listen: loopback.AnyPort, PeerListen: s.peers[i],
			Scheduler: policy.New(policy.Options{Seed: uint64(i), Zone: zone}),
		},
		Log: s.client,
	})
	s.entries[i] = n
	return err
}

func (s *system) startAgent(i int) {
	s.agents[i] = agentd.Start(agentd.Options{
		Name: fmt.Sprintf("worker-%02d", i), Zone: fmt.Sprintf("zone-%d", i%3),
		Rack: fmt.Sprintf("rack-%d", i/3), Slots: slots,
		UpstreamURL: "http://" + s.upstream.Addr(), Entries: s.peers,
	})
}

func (s *system) restartEntry(i int) error {
	s.entries[i].Kill()
	return s.startEntry(i)
}

func (s *system) restartAgent(i int) {
	s.agents[i].Kill()
	s.startAgent(i)
}

func (s *system) stop() {
	for _, e := range s.entries {
		if e != nil {
			e.Kill()
		}
	}
	for _, a := range s.agents {
		if a != nil {
			a.Kill()
		}
	}
	s.upstream.Close()
	s.client.Close()
	s.log.Close()
}

// publish changes the response target of the class in the configuration and returns
// the revision that the change was accepted with.
func (s *system) publish(class string, withinMS int) (int64, error) {
	var out strings.Builder
	c := operator.Client{Log: s.client, Out: &out}
	toml := fmt.Sprintf("[[class]]\nname = %q\nwithin_ms = %d\nsuccess = 0.9\n", class, withinMS)
	r := c.Apply(context.Background(), "change", []byte(toml), false)
	if r.ExitCode() != operator.ExitOK || len(r.Changes) != 1 {
		return 0, fmt.Errorf("experiment: configuration change was not accepted: %s", out.String())
	}
	return r.Changes[0].Revision, nil
}

// inEffectEverywhere reports whether the configuration version or a later one is in
// effect in every process.
func (s *system) inEffectEverywhere(version int64) bool {
	for _, e := range s.entries {
		if e.ConfigVersion() < version {
			return false
		}
	}
	for _, a := range s.agents {
		if st, ok := a.Status(); !ok || st.ConfigVersion < version {
			return false
		}
	}
	return true
}

// everyEntryServes reports whether every entry completes a job.
func (s *system) everyEntryServes() bool {
	for _, e := range s.entries {
		resp, err := http.Post("http://"+e.Addr()+"/v1/jobs", "application/json",
			strings.NewReader(`{"class":"probe","tasks":[{"sleep_us":1}]}`))
		if err != nil {
			return false
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// await polls until done returns true, and returns how long that took. It fails after
// waitTimeout. event names the awaited event in the error.
func await(event string, done func() bool) (time.Duration, error) {
	start := time.Now()
	for !done() {
		if time.Since(start) > waitTimeout {
			return 0, fmt.Errorf("experiment: timed out waiting for %s after %s", event, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

// randomIndexes returns n distinct random indexes below total.
func randomIndexes(rng *rand.Rand, n, total int) []int { return rng.Perm(total)[:n] }
