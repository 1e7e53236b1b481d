package agent

import (
	"math"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// maxNeighbourClasses bounds the classes whose slots are measured. Runs of others are not
// reported as neighbours.
const maxNeighbourClasses = 64

// neighbours measures how many slots the runs of each class take over time. It does
// so only while an entry is known that asked for it.
type neighbours struct {
	enabled bool
	classes []classSlots // of free records the name is empty
	now     time.Duration
	// generation numbers the measurements. Runs that began in an earlier one are not
	// reported.
	generation uint64
	// current is the report of the slots in use, valid until they change.
	current      []wire.Neighbour
	currentValid bool
}

// classSlots measures the slots of one class.
type classSlots struct {
	name  string
	slots float64 // in use now
	runs  int
	area  float64 // slots in use, integrated over time in seconds
	// since is when the record was given to the class, and base the area then.
	since time.Duration
	base  float64
}

// besideStart is what a run notes at its start to learn what ran beside it.
type besideStart struct {
	generation uint64
	areas      []float64 // by record
	class      int       // record of the run's own class, -1 if it has none
}

// advance integrates up to the time now.
func (n *neighbours) advance(now time.Duration) {
	seconds := (now - n.now).Seconds()
	n.now = now
	if seconds == 0 {
		return
	}
	for i := range n.classes {
		n.classes[i].area += n.classes[i].slots * seconds
	}
}

// restart begins a new measurement with the given runs, or none if it is not enabled.
func (n *neighbours) restart(now time.Duration, enabled bool, active []*attempt) {
	*n = neighbours{enabled: enabled, now: now, generation: n.generation + 1}
	for _, a := range active {
		a.beside = nil
		if enabled {
			a.beside = &besideStart{class: n.record(a.start.Class)} // of no generation
			n.change(a.beside.class, a.slots, 1)
		}
	}
}

// record returns the record of the class, or -1 if there is no room for it.
func (n *neighbours) record(class string) int {
	free := -1
	for i := range n.classes {
		if n.classes[i].name == class {
			return i
		}
		if free < 0 && n.classes[i].runs == 0 {
			free = i
		}
	}
	switch {
	case len(n.classes) < maxNeighbourClasses:
		n.classes = append(n.classes, classSlots{name: class, since: n.now})
		return len(n.classes) - 1
	case free >= 0:
		c := &n.classes[free]
		c.name, c.since, c.base = class, n.now, c.area
		return free
	}
	return -1
}

// change adds to the slots and runs of a record, if it is one.
func (n *neighbours) change(record int, slots float64, runs int) {
	if record < 0 {
		return
	}
	c := &n.classes[record]
	c.runs += runs
	c.slots += slots
	if c.runs == 0 {
		c.slots = 0 // discard accumulated rounding errors
	}
	n.currentValid = false
}

// runStarted notes the start of a run.
func (n *neighbours) runStarted(now time.Duration, a *attempt) {
	if !n.enabled {
		return
	}
	n.advance(now)
	a.beside = &besideStart{generation: n.generation, class: n.record(a.start.Class)}
	a.beside.areas = make([]float64, len(n.classes))
	for i := range n.classes {
		a.beside.areas[i] = n.classes[i].area
	}
	n.change(a.beside.class, a.slots, 1)
}

// runEnded notes the end of a run and returns what ran beside it.
func (n *neighbours) runEnded(now time.Duration, a *attempt) []wire.Neighbour {
	if a.beside == nil {
		return nil
	}
	n.advance(now)
	var out []wire.Neighbour
	duration := (now - a.started).Seconds()
	if a.beside.generation == n.generation && a.entry.reportNeighbours && duration > 0 {
		for i := range n.classes {
			mean := n.areaSince(i, a) / duration
			if i == a.beside.class {
				mean -= a.slots
			}
			out = addNeighbour(out, n.classes[i].name, mean)
		}
	}
	n.change(a.beside.class, -a.slots, -1)
	a.beside = nil
	return out
}

// areaSince returns the area of a record since the start of the run.
func (n *neighbours) areaSince(record int, a *attempt) float64 {
	c := &n.classes[record]
	switch {
	case c.since > a.started:
		return c.area - c.base
	case record < len(a.beside.areas):
		return c.area - a.beside.areas[record]
	}
	return c.area // added after the start of the run, at the same time
}

// report returns the slots that runs of each class take now. It must not be modified.
func (n *neighbours) report() []wire.Neighbour {
	if !n.currentValid {
		n.current = nil
		for i := range n.classes {
			n.current = addNeighbour(n.current, n.classes[i].name, n.classes[i].slots)
		}
		n.currentValid = true
	}
	return n.current
}

// addNeighbour adds a class to a list that holds the wire.MaxNeighbours classes with the
// most slots, in descending order.
func addNeighbour(list []wire.Neighbour, class string, slots float64) []wire.Neighbour {
	n := wire.Neighbour{Class: class, Slots: int(math.Round(1000 * min(slots, wire.MaxSlots)))}
	if n.Slots <= 0 {
		return list
	}
	i := len(list)
	for i > 0 && (list[i-1].Slots < n.Slots || list[i-1].Slots == n.Slots && list[i-1].Class > n.Class) {
		i--
	}
	if i == wire.MaxNeighbours {
		return list
	}
	if list == nil {
		list = make([]wire.Neighbour, 0, wire.MaxNeighbours)
	}
	return slices.Insert(list[:min(len(list), wire.MaxNeighbours-1)], i, n)
}

// updateNeighbours starts or stops the measurement if the first entry that asks for it
// has connected or the last one was removed.
func (m *Machine) updateNeighbours(now time.Duration) {
	wanted := slices.ContainsFunc(m.entryList, func(rec *entryRecord) bool { return rec.reportNeighbours })
	if wanted != m.neighbours.enabled {
		m.neighbours.restart(now, wanted, m.active)
	}
}
