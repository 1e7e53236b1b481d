package agentd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	testZones      = 12
	entriesPerZone = 5
	testAgents     = 4_400
	entriesPerRack = 3
)

func testEntries() []wire.EntryAddr {
	var out []wire.EntryAddr
	for i := range testZones * entriesPerZone {
		out = append(out, wire.EntryAddr{
			Incarnation: wire.Incarnation(i + 1), Peer: fmt.Sprintf("10.0.%d.1:7000", i), Zone: testZone(i),
		})
	}
	return out
}

func testZone(i int) string { return fmt.Sprintf("zone-%d", i%testZones) }

// Guards against entries with far more or fewer links than others.
func TestLinksAreSpreadEvenly(t *testing.T) {
	entries := testEntries()
	links := make(map[string]int)
	for i := range testAgents {
		chosen := chooseEntries(fmt.Sprintf("worker-%05d", i), testZone(i), entries)
		assert.Equal(t, len(chosen), linksInZone+linksInOtherZones)
		seen := make(map[string]bool)
		for _, e := range chosen {
			assert.Assert(t, !seen[e.Peer], "an entry was chosen twice")
			seen[e.Peer] = true
			links[e.Peer]++
		}
	}
	mean := float64(testAgents*(linksInZone+linksInOtherZones)) / float64(len(entries))
	for peer, n := range links {
		assert.Assert(t, float64(n) > 0.8*mean && float64(n) < 1.2*mean, "%s has %d links, the mean is %.0f", peer, n, mean)
	}
}

// Guards against agents without a link after the entries of a rack, of a zone or
// half of all entries are lost. At first agents have only their remaining links.
// Once they have detected the loss they must have a full set again.
func TestAgentsStayReachableWhenEntriesAreLost(t *testing.T) {
	entries := testEntries()
	for name, lost := range map[string]func(i int) bool{
		"rack": func(i int) bool { return i/testZones < entriesPerRack && i%testZones == 4 },
		"zone": func(i int) bool { return i%testZones == 4 },
		"half": func(i int) bool { return i%2 == 0 },
	} {
		live := make(map[string]bool)
		var remaining []wire.EntryAddr
		for i, e := range entries {
			if !lost(i) {
				live[e.Peer] = true
				remaining = append(remaining, e)
			}
		}
		unlinked := 0
		for i := range testAgents {
			agent := fmt.Sprintf("worker-%05d", i)
			if !anyIn(chooseEntries(agent, testZone(i), entries), live) {
				unlinked++
			}
			relinked := chooseEntries(agent, testZone(i), remaining)
			assert.Equal(t, len(relinked), linksInZone+linksInOtherZones, "%s", name)
		}
		t.Logf("loss of a %s: %d of %d agents without a link until they dial other entries", name, unlinked, testAgents)
		if name != "half" {
			assert.Equal(t, unlinked, 0, "%s", name)
		}
	}
}

func anyIn(entries []wire.EntryAddr, live map[string]bool) bool {
	for _, e := range entries {
		if live[e.Peer] {
			return true
		}
	}
	return false
}

// Guards against links to other entries that move when one entry is lost.
func TestOneLostEntryMovesOnlyItsLinks(t *testing.T) {
	entries := testEntries()
	lost := entries[7]
	remaining := append(append([]wire.EntryAddr{}, entries[:7]...), entries[8:]...)
	for i := range 1000 {
		agent := fmt.Sprintf("worker-%05d", i)
		before := chooseEntries(agent, testZone(i), entries)
		after := make(map[string]bool)
		for _, e := range chooseEntries(agent, testZone(i), remaining) {
			after[e.Peer] = true
		}
		for _, e := range before {
			assert.Assert(t, e == lost || after[e.Peer], "the link to %s moved", e.Peer)
		}
	}
}

// Guards against a list of known entries that is filled up by dead ones, so that
// new entries are never added.
func TestFullEntryListDropsOldEntriesForNew(t *testing.T) {
	a := startAgent(t, Options{Name: "w", Zone: "z", UpstreamURL: "http://127.0.0.1:1/", Dial: refuseDial})
	list := func(generation int) (out []wire.EntryAddr) {
		for i := range wire.MaxKnownEntries {
			out = append(out, wire.EntryAddr{
				Incarnation: wire.Incarnation(generation*1000 + i + 1),
				Peer:        fmt.Sprintf("10.%d.%d.1:7000", generation, i), Zone: "z",
			})
		}
		return out
	}
	for generation := range 20 {
		a.dialer.learn(list(generation))
		known := a.dialer.entries()
		assert.Assert(t, len(known) <= wire.MaxKnownEntries)
		assert.Equal(t, len(a.dialer.lastListed), len(known))
	}
	newest := 0
	for _, e := range a.dialer.entries() {
		if e.Incarnation > 19_000 {
			newest++
		}
	}
	assert.Assert(t, newest > 0, "no entry of the latest list is known")
}

func refuseDial(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
