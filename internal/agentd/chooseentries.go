package agentd

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Number of links that an agent keeps, at the target scale, to entries of its own
// zone and of other zones. If there are fewer entries, it keeps links to all.
const (
	linksInZone       = 4
	linksInOtherZones = 2
)

// chooseEntries returns the entries that the agent keeps links to: up to
// linksInZone in its own zone and linksInOtherZones in other zones, spread over as
// many of these as possible. If its own zone has fewer entries, entries of other
// zones are chosen instead, so that every agent has six links in total.
//
// The choice uses rendezvous hashing: entries are ranked by the hash of the agent
// name and the entry address. It depends only on the arguments, spreads agents
// evenly over entries, and when entries come or go, only the links to these
// entries change. The address is hashed and not the incarnation, so that a
// restarted entry gets the same agents again.
func chooseEntries(agent, zone string, entries []wire.EntryAddr) []wire.EntryAddr {
	ranked := rankEntries(agent, entries)
	var chosen, others []wire.EntryAddr
	for _, e := range ranked {
		if e.Zone == zone && len(chosen) < linksInZone {
			chosen = append(chosen, e)
		}
		if e.Zone != zone {
			others = append(others, e)
		}
	}
	n := linksInZone + linksInOtherZones - len(chosen)
	return append(chosen, spreadOverZones(others, n)...)
}

// rankEntries returns the entries sorted by the hash of agent name and entry
// address, highest first.
func rankEntries(agent string, entries []wire.EntryAddr) []wire.EntryAddr {
	type scored struct {
		hash  uint64
		entry wire.EntryAddr
	}
	byHash := make([]scored, 0, len(entries))
	for _, e := range entries {
		hash := xxhash.Sum64String(agent + "\x00" + e.Peer)
		byHash = append(byHash, scored{hash: hash, entry: e})
	}
	slices.SortFunc(byHash, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.Peer, b.entry.Peer))
	})
	out := make([]wire.EntryAddr, len(byHash))
	for i := range byHash {
		out[i] = byHash[i].entry
	}
	return out
}

// spreadOverZones returns the given number of entries: first the highest ranked
// entry of each zone, then the second of each zone, and so on.
func spreadOverZones(ranked []wire.EntryAddr, n int) []wire.EntryAddr {
	var out []wire.EntryAddr
	remaining := ranked
	for len(out) < n && len(remaining) > 0 {
		used := make(map[string]bool)
		var rest []wire.EntryAddr
		for _, e := range remaining {
			if used[e.Zone] || len(out) == n {
				rest = append(rest, e)
				continue
			}
			used[e.Zone] = true
			out = append(out, e)
		}
		remaining = rest
	}
	return out
}
