// Package interference estimates which classes of tasks slow each other down when
// they run on one worker, although their declared needs fit.
//
// It has no clock and does no I/O. docs/design/interference.md describes the model.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxClasses bounds the classes. Others are neither victims nor neighbours. The
	// regressions of 64 classes take 6.6 MB.
	MaxClasses = 64
	// MaxAgents bounds the agents whose runs are used. More are not needed for an
	// estimate.
	MaxAgents = 1024
	// groups is the number of groups of agents for the jackknife.
	groups = 6
	// minGroups is how many groups must have contributed before a pair can count.
	minGroups = 3

	// forgetting is the weight of earlier runs of the class after each run: the last
	// 2,000 count.
	forgetting = 0.9995
	// memory is the time after which an earlier run counts a third, if the class has
	// no further ones.
	memory = time.Hour
	// fleetWeight is the weight of a run in the means over all agents. With 1/32 a class
	// whose run times and slots rose and fell together was found to slow itself down.
	fleetWeight = 1.0 / 16
	// agentWeight is the least weight of a run in the means of one agent.
	agentWeight = 1.0 / 64
	// agentMinimum is the number of runs of an agent that are used for its means only.
	agentMinimum = 4
	// clipFactor bounds residuals, in multiples of their mean deviation. With 3% of
	// the runs taking seven times as long, 2.5 clips these and little else.
	clipFactor = 2.5
	minClip    = 0.1
	maxClip    = 2
	// ridge is added to the sum of squares of each class's slots, in slots² times runs.
	ridge = 5
	// idleClass is the time without runs after which a class gives its place to another
	// one. A class without any runs does so at once.
	idleClass = time.Hour
	// minInformation is the sum of squares, in slots² times runs, below which nothing
	// is concluded about a neighbour.
	minInformation = 20

	// evaluateEvery is the number of runs of a class between evaluations.
	evaluateEvery = 64
	// A pair counts from minEffect (relative slowdown for each slot) at minConfidence
	// standard errors on. It ends below endEffect, if minEffect is then unlikely.
	minEffect     = 0.05
	minConfidence = 4.5
	endEffect     = 0.025
	// confirmedConfidence is the confidence at which a pair that counts is confirmed.
	// Pairs that are kept apart yield few runs beside each other, so less is required.
	confirmedConfidence = 2
	// maxUnconfirmed is how long a pair counts without being confirmed.
	maxUnconfirmed = 30 * time.Minute
	// maxEffect bounds what placement is told.
	maxEffect = 1
)

// Exposure is the mean of the slots that runs of a class took beside a run.
type Exposure struct {
	Class string
	Slots float64
}

// Pair is an ordered pair of classes of which one slows the other down.
type Pair struct {
	Victim    string
	Neighbour string
	// Effect is the share by which a slot of the neighbour beside a run of the victim
	// lengthens it, beyond what a slot of other classes does.
	Effect float64
	// Error is the standard error of Effect.
	Error float64
	// Runs is the effective number of runs behind the estimate.
	Runs float64
	// Agents is the number of agents known to the estimator.
	Agents int
	Since  time.Duration // process time
}

// Change reports that a pair began or ceased to count.
type Change struct {
	Pair  Pair
	Found bool
}

// Estimator learns from runs. It is not safe for concurrent use.
type Estimator struct {
	names   []string       // by index; empty if the index is free
	index   map[string]int // by name
	victims []*victim      // by index
	agents  map[uint64]*agent
	joined  int // agents that were ever added, assigns groups
	// published are the classes that may be tracked, and lastSeen is when runs of those
	// that are were observed last, by index; negative if they never were.
	published  map[string]bool
	lastSeen   []time.Duration
	generation int
	changes    []Change
	x          []float64 // scratch: exposures by index
	work       workspace
}

// agent holds the means of one agent.
type agent struct {
	group int
	runs  float64
	x     []float32 // mean centred exposures by index
	y     []float32 // mean centred residuals by victim
	yRuns []float32
}

// victim is the regression of one class.
type victim struct {
	runs      int // all
	sinceEval int
	lastAt    time.Duration
	meanY     float64
	meanX     []float64
	deviation float64 // mean absolute deviation of the clipped residuals
	sums      [groups]sums
	pairs     []*countedPair // by index of the neighbour, nil if the pair does not count
	scale     float64        // weight of the next run
}

// countedPair is a pair that counts.
type countedPair struct {
	Pair
	confirmedAt time.Duration
}

// sums are weighted sums over the runs of one group of agents.
type sums struct {
	weight, yy float64
	xx         []float64 // lower triangle, by row
	xy         []float64
}

// rescaleAt is the weight of a run at which all sums are scaled down.
const rescaleAt = 1e6

// New returns an estimator without classes.
func New() *Estimator {
	return &Estimator{index: make(map[string]int), agents: make(map[uint64]*agent)}
}

// SetClasses replaces the classes. Estimates of and about classes that are not listed
// are discarded. Of more than MaxClasses, the first ones are tracked until others run.
func (e *Estimator) SetClasses(names []string) {
	e.published = make(map[string]bool, len(names))
	for _, name := range names {
		e.published[name] = name != ""
	}
	for i, name := range e.names {
		if name != "" && !e.published[name] {
			e.remove(name, i)
		}
	}
	for _, name := range names {
		if _, known := e.index[name]; known || len(e.index) >= MaxClasses || name == "" {
			continue
		}
		e.add(name)
	}
}

// add gives a class the first free index.
func (e *Estimator) add(name string) {
	i := slices.Index(e.names, "")
	if i < 0 {
		i = len(e.names)
		e.names = append(e.names, "")
		e.victims = append(e.victims, nil)
		e.x = append(e.x, 0)
		e.lastSeen = append(e.lastSeen, 0)
	}
	e.names[i] = name
	e.index[name] = i
	e.victims[i] = &victim{scale: 1}
	e.lastSeen[i] = -1
	e.generation++
}

// Generation changes whenever a class gets or loses its index.
func (e *Estimator) Generation() int { return e.generation }

// seen notes that runs of a class are observed. It gives the class the place of the one
// without runs for the longest time, if that is idle, and returns whether the class is
// tracked.
func (e *Estimator) seen(now time.Duration, class string) (index int, tracked bool) {
	i, ok := e.index[class]
	if !ok {
		if !e.published[class] {
			return 0, false
		}
		if len(e.index) >= MaxClasses {
			oldest := 0
			for j, at := range e.lastSeen {
				if at < e.lastSeen[oldest] {
					oldest = j
				}
			}
			if at := e.lastSeen[oldest]; at >= 0 && now-at < idleClass {
				return 0, false
			}
			e.remove(e.names[oldest], oldest)
		}
		e.add(class)
		i = e.index[class]
	}
	e.lastSeen[i] = max(e.lastSeen[i], now)
	return i, true
}

// remove discards a class as a victim and as a neighbour.
func (e *Estimator) remove(name string, i int) {
	for c := range e.victims[i].pairs {
		e.end(e.victims[i], c)
	}
	delete(e.index, name)
	e.victims[i] = nil
	for _, v := range e.victims {
		if v == nil {
			continue
		}
		e.end(v, i)
		v.removeNeighbour(i)
	}
	for _, a := range e.agents {
		if i < len(a.x) {
			a.x[i], a.y[i], a.yRuns[i] = 0, 0, 0
		}
	}
	e.names[i] = ""
	e.generation++
}

func (v *victim) removeNeighbour(i int) {
	if i >= len(v.meanX) {
		return
	}
	v.meanX[i] = 0
	for g := range v.sums {
		s := &v.sums[g]
		if i >= len(s.xy) {
			continue
		}
		s.xy[i] = 0
		for j := range s.xy {
			s.xx[triangle(max(i, j), min(i, j))] = 0
		}
	}
}

// triangle returns the position of row i, column j <= i in a lower triangle.
func triangle(i, j int) int { return i*(i+1)/2 + j }

// Index returns the index of a class for Effect, or -1 if it is not tracked.
func (e *Estimator) Index(class string) int {
	if i, ok := e.index[class]; ok {
		return i
	}
	return -1
}

// Len returns the bound of all indexes.
func (e *Estimator) Len() int { return len(e.names) }

// Effect returns the effect of a pair that counts, at most 1, or 0.
func (e *Estimator) Effect(victim, neighbour int) float64 {
	if victim < 0 || neighbour < 0 || e.victims[victim] == nil || !e.victims[victim].counts(neighbour) {
		return 0
	}
	return min(max(e.victims[victim].pairs[neighbour].Effect, 0), maxEffect)
}

// Pairs returns the pairs that count, sorted by victim and neighbour.
func (e *Estimator) Pairs() []Pair {
	var out []Pair
	for _, v := range e.victims {
		if v == nil {
			continue
		}
		for _, p := range v.pairs {
			if p != nil {
				out = append(out, p.Pair)
			}
		}
	}
	slices.SortFunc(out, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return out
}

// Changes returns the pairs that began or ceased to count since the last call.
func (e *Estimator) Changes() []Change {
	out := e.changes
	e.changes = nil
	return out
}

// ForgetAgent discards the means of an agent.
func (e *Estimator) ForgetAgent(id uint64) { delete(e.agents, id) }

// Expire ends the pairs that were not confirmed for maxUnconfirmed.
func (e *Estimator) Expire(now time.Duration) {
	for _, v := range e.victims {
		if v == nil {
			continue
		}
		for c, p := range v.pairs {
			if p != nil && now-p.confirmedAt > maxUnconfirmed {
				e.end(v, c)
			}
		}
	}
}

// Observe adds a run that succeeded. It may give an index to classes that had none. residual is the logarithm of its run time over
// the forecast. It reports whether the pairs or their effects may have changed.
func (e *Estimator) Observe(now time.Duration, agentID uint64, class string, residual float64, beside []Exposure) (evaluated bool) {
	if math.IsNaN(residual) || math.IsInf(residual, 0) {
		return false
	}
	vi, ok := e.seen(now, class)
	if !ok {
		return false
	}
	for _, b := range beside {
		e.seen(now, b.Class) // before the indexes are used: it may add one
	}
	a := e.agent(agentID)
	if a == nil {
		return false
	}
	n := len(e.names)
	x := e.x[:n]
	clear(x)
	for _, b := range beside {
		if i, tracked := e.index[b.Class]; tracked && b.Slots > 0 {
			x[i] += b.Slots
		}
	}
	v := e.victims[vi]
	v.resize(n)
	a.resize(n)
	y := v.centre(residual, x)
	used := a.yRuns[vi] >= agentMinimum
	y = a.centre(vi, y, x)
	if !used {
		return false
	}
	v.add(now, a.group, y, x)
	v.sinceEval++
	if v.sinceEval < max(evaluateEvery, 4*n) {
		return false
	}
	v.sinceEval = 0
	e.evaluate(now, vi, v)
	return true
}

// agent returns the state of an agent, or nil if there are too many.
func (e *Estimator) agent(id uint64) *agent {
	a := e.agents[id]
	if a == nil && len(e.agents) < MaxAgents {
		a = &agent{group: e.joined % groups}
		e.joined++
		e.agents[id] = a
	}
	return a
}

// resize makes room for n classes.
func (v *victim) resize(n int) {
	for len(v.meanX) < n {
		v.meanX, v.pairs = append(v.meanX, 0), append(v.pairs, nil)
	}
}

// counts reports whether the pair with the neighbour counts.
func (v *victim) counts(neighbour int) bool {
	return neighbour < len(v.pairs) && v.pairs[neighbour] != nil
}

func (a *agent) resize(n int) {
	for len(a.x) < n {
		a.x, a.y, a.yRuns = append(a.x, 0), append(a.y, 0), append(a.yRuns, 0)
	}
}

// centre subtracts the means over all agents from a residual and, in place, from the
// exposures, and updates the means. The residual is clipped.
func (v *victim) centre(y float64, x []float64) float64 {
	v.runs++
	weight := max(fleetWeight, 1/float64(v.runs))
	clip := float64(maxClip)
	if v.runs > evaluateEvery {
		clip = min(max(clipFactor*v.deviation, minClip), maxClip)
	}
	y = min(max(y-v.meanY, -clip), clip)
	v.meanY += weight * y
	v.deviation += max(1.0/512, 1/float64(v.runs)) * (math.Abs(y) - v.deviation)
	for i := range x {
		x[i] -= v.meanX[i]
		v.meanX[i] += weight * x[i]
	}
	return y
}

// centre subtracts the means of the agent likewise.
func (a *agent) centre(victim int, y float64, x []float64) float64 {
	a.runs++
	a.yRuns[victim]++
	y -= float64(a.y[victim])
	a.y[victim] += float32(max(agentWeight, 1/float64(a.yRuns[victim])) * y)
	weight := max(agentWeight, 1/a.runs)
	for i := range x {
		x[i] -= float64(a.x[i])
		a.x[i] += float32(weight * x[i])
	}
	return y
}

// add adds a centred run to the sums of its group.
func (v *victim) add(now time.Duration, group int, y float64, x []float64) {
	v.scale /= forgetting
	if idle := now - v.lastAt; idle > time.Second {
		v.scale *= math.Exp(min(idle.Seconds()/memory.Seconds(), 10))
	}
	v.lastAt = now
	if v.scale > rescaleAt {
		v.rescale()
	}
	s := &v.sums[group]
	for len(s.xy) < len(x) {
		s.xy = append(s.xy, 0)
		s.xx = append(s.xx, make([]float64, len(s.xy))...)
	}
	w := v.scale
	s.weight += w
	s.yy += w * y * y
	for i, xi := range x {
		if xi == 0 {
			continue
		}
		s.xy[i] += w * xi * y
		row := s.xx[triangle(i, 0):]
		for j := 0; j <= i; j++ {
			row[j] += w * xi * x[j]
		}
	}
}

// rescale scales all sums down so that the next run has the weight 1.
func (v *victim) rescale() {
	f := 1 / v.scale
	for g := range v.sums {
		s := &v.sums[g]
		s.weight *= f
		s.yy *= f
		for i := range s.xx {
			s.xx[i] *= f
		}
		for i := range s.xy {
			s.xy[i] *= f
		}
	}
	v.scale = 1
}
