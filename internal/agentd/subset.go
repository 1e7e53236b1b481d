package agentd

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Links that an agent keeps at the target scale; with fewer entries it keeps
// links to all.
const (
	linksInZone       = 4
	linksInOtherZones = 2
)

// chooseEntries returns the entries that the agent keeps links to: up to
// linksInZone in its own zone and linksInOtherZones in others, from different
// zones if there are several. With fewer entries in its own zone, entries of
// other zones take the places, so an agent has six links wherever it is.
//
// The choice is rendezvous hashing: entries are ranked by the hash of agent
// and entry address, so it depends on nothing but its arguments, spreads agents
// evenly over entries, and changes only by the places of entries that come or
// go. The address is hashed and not the incarnation, so that a restarted entry
// gets its agents back.
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
	places := linksInZone + linksInOtherZones - len(chosen)
	return append(chosen, spreadOverZones(others, places)...)
}

// rankEntries sorts entries by their hash with the agent, highest first.
func rankEntries(agent string, entries []wire.EntryAddr) []wire.EntryAddr {
	type ranked struct {
		hash  uint64
		entry wire.EntryAddr
	}
	byHash := make([]ranked, 0, len(entries))
	for _, e := range entries {
		hash := xxhash.Sum64String(agent + "\x00" + e.Peer)
		byHash = append(byHash, ranked{hash: hash, entry: e})
	}
	slices.SortFunc(byHash, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.Peer, b.entry.Peer))
	})
	out := make([]wire.EntryAddr, len(byHash))
	for i := range byHash {
		out[i] = byHash[i].entry
	}
	return out
}

// spreadOverZones takes the best entry of each zone in turn, then the second
// best of each, until places are taken.
func spreadOverZones(ranked []wire.EntryAddr, places int) []wire.EntryAddr {
	var out []wire.EntryAddr
	left := ranked
	for len(out) < places && len(left) > 0 {
		seen := make(map[string]bool)
		var later []wire.EntryAddr
		for _, e := range left {
			if seen[e.Zone] || len(out) == places {
				later = append(later, e)
				continue
			}
			seen[e.Zone] = true
			out = append(out, e)
		}
		left = later
	}
	return out
}
