package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Interference says what is done about classes that slow each other down on one worker.
type Interference uint8

// Values of Interference.
const (
	// InterferenceOff: nothing is learned.
	InterferenceOff Interference = iota
	// InterferenceObserve: interfering pairs of classes are learned and reported.
	InterferenceObserve
	// InterferenceSeparate: they are also placed apart where capacity allows.
	InterferenceSeparate
)

var interferenceNames = [...]string{"off", "observe", "separate"}

// String returns the name that ParseInterference accepts.
func (i Interference) String() string { return interferenceNames[i] }

// ParseInterference returns the value with the given name.
func ParseInterference(name string) (Interference, error) {
	for i, n := range interferenceNames {
		if n == name {
			return Interference(i), nil
		}
	}
	return 0, fmt.Errorf("interference %q: want off, observe or separate", name)
}

// InterferenceReporter is implemented by schedulers that learn which classes slow each
// other down.
type InterferenceReporter interface {
	// InterferencePairs returns the pairs that count now, sorted.
	InterferencePairs() []interference.Pair
	// InterferenceChanges returns the pairs that began or ceased to count since the
	// last call.
	InterferenceChanges(now time.Duration) []interference.Change
}

// pairEffect is the effect of a pair as seen from one of its classes.
type pairEffect struct {
	other  int // index of the other class
	effect float64
}

// interferenceState is what the scheduler keeps if interference is not off. Classes are
// identified by the estimator's indexes.
type interferenceState struct {
	mode      Interference
	estimator *interference.Estimator
	classes   []*classState
	slowedBy  [][]pairEffect // by victim
	slows     [][]pairEffect // by neighbour
	pairs     int
	// generation is the estimator's of which classes holds the indexes.
	generation int
	exposures  []interference.Exposure // scratch
}

func newInterferenceState(mode Interference) *interferenceState {
	if mode == InterferenceOff {
		return nil
	}
	return &interferenceState{mode: mode, estimator: interference.New()}
}

// classSlots are the slots that runs of each tracked class take at an agent.
type classSlots struct {
	own    []float32 // of this entry's attempts
	others []float32 // of other entries' runs, at the last report
}

func (c *classSlots) resize(n int) {
	for len(c.own) < n {
		c.own, c.others = append(c.own, 0), append(c.others, 0)
	}
}

// present returns the slots of a class at the agent.
func (c *classSlots) present(class int) float64 {
	if class >= len(c.own) {
		return 0
	}
	return float64(c.own[class] + c.others[class])
}

// configureInterference makes the estimator track the published classes.
func (s *Adaptive) configureInterference() {
	x := s.interference
	if x == nil {
		return
	}
	names := make([]string, 0, len(s.settings.Classes))
	for _, c := range s.settings.Classes {
		names = append(names, c.Name)
	}
	x.estimator.SetClasses(names)
	s.adoptClasses()
}

// adoptClasses follows the estimator's indexes.
func (s *Adaptive) adoptClasses() {
	x := s.interference
	x.generation = x.estimator.Generation()
	before := x.classes
	x.classes = make([]*classState, x.estimator.Len())
	for name, c := range s.classes {
		if i := x.estimator.Index(name); i >= 0 {
			x.classes[i] = c
		}
	}
	for i, c := range before {
		if x.classes[i] == c {
			continue
		}
		for _, a := range s.agents { // the index is free or that of another class
			if i < len(a.classSlots.own) {
				a.classSlots.own[i], a.classSlots.others[i] = 0, 0
			}
		}
	}
	x.update()
}

// update adopts the estimator's pairs for placement.
func (x *interferenceState) update() {
	n := x.estimator.Len()
	pairs := x.estimator.Pairs()
	if len(pairs) == 0 && x.pairs == 0 {
		return
	}
	x.pairs = len(pairs)
	x.slowedBy, x.slows = make([][]pairEffect, n), make([][]pairEffect, n)
	for _, p := range pairs {
		v, c := x.estimator.Index(p.Victim), x.estimator.Index(p.Neighbour)
		effect := x.estimator.Effect(v, c)
		x.slowedBy[v] = append(x.slowedBy[v], pairEffect{other: c, effect: effect})
		x.slows[c] = append(x.slows[c], pairEffect{other: v, effect: effect})
	}
}

// classIndex returns the estimator's index of the job's class, or -1 if it has none.
func (s *Adaptive) classIndex(job *Job) int {
	if s.interference == nil {
		return -1
	}
	return s.interference.estimator.Index(job.Class)
}

// recordClassSlots adds the slots of an attempt of this entry, or removes them.
func (s *Adaptive) recordClassSlots(a *agentState, job *Job, slots float64) {
	i := s.classIndex(job)
	if i < 0 {
		return
	}
	a.classSlots.resize(i + 1)
	// An attempt may be older than the index of its class.
	a.classSlots.own[i] = max(0, a.classSlots.own[i]+float32(slots))
	if a.inFlight == 0 {
		clear(a.classSlots.own) // clear accumulated rounding errors
	}
}

// observeClasses applies the slots by class of a load report.
func (s *Adaptive) observeClasses(now time.Duration, a *agentState, load *wire.Load) {
	x := s.interference
	if x == nil || x.mode != InterferenceSeparate {
		return
	}
	a.classSlots.resize(x.estimator.Len())
	clear(a.classSlots.others)
	for _, n := range load.Classes {
		if i := x.estimator.Index(n.Class); i >= 0 {
			a.classSlots.others[i] = max(0, float32(n.Slots)/1000-a.classSlots.own[i]+a.inTransitOf(i, now))
		}
	}
}

// observeInterference learns from a run that succeeded. It must be called before the
// run is added to the estimates of its class.
func (s *Adaptive) observeInterference(now time.Duration, a *agentState, j *jobState, r *wire.Result) {
	x := s.interference
	if x == nil || !j.class.runs.known() {
		return
	}
	x.exposures = x.exposures[:0]
	for _, n := range r.Neighbours {
		x.exposures = append(x.exposures, interference.Exposure{Class: n.Class, Slots: float64(n.Slots) / 1000})
	}
	run := max(r.RunTime.Duration(), time.Millisecond).Seconds()
	expected := j.class.runs.logMean() + math.Log(j.class.forecast.scale(j.job.DeclaredRunTime))
	evaluated := x.estimator.Observe(now, uint64(a.info.Agent), j.job.Class, math.Log(run)-expected, x.exposures)
	if x.estimator.Generation() != x.generation {
		s.adoptClasses()
	} else if evaluated {
		x.update()
	}
}

// newSearch returns the state for a search for an agent.
func (s *Adaptive) newSearch(now time.Duration, j *jobState) search {
	p := search{pressure: s.deadlinePressure(now, j), now: now, job: j, run: s.expectedRunOf(j), meanRun: max(s.allRuns.meanOrPrior(0), minMeanRun)}
	x := s.interference
	if x == nil || x.mode != InterferenceSeparate || x.pairs == 0 {
		return p
	}
	if class := x.estimator.Index(j.job.Class); class >= 0 && class < len(x.slows) {
		p.slowedBy, p.slows = x.slowedBy[class], x.slows[class]
	}
	return p
}

// interferenceCost returns the run time, in seconds, that a task of the job loses by
// what is at work at the agent, and makes that lose.
func (s *Adaptive) interferenceCost(p *search, a *agentState) float64 {
	if len(p.slowedBy)+len(p.slows) == 0 {
		return 0
	}
	cost := 0.0
	for _, e := range p.slowedBy {
		cost += e.effect * a.classSlots.present(e.other) * p.run.Seconds()
	}
	for _, e := range p.slows {
		victims := a.classSlots.present(e.other)
		if victims == 0 {
			continue
		}
		both := min(p.run, s.expectedRun(s.interference.classes[e.other], 0))
		cost += e.effect * a.slotsOf(p.job.job) * victims * both.Seconds()
	}
	return boundedInterference(cost)
}

// maxInterferenceCost bounds the cost of interference. It is below failedAgentCost and
// quarantineCost by more than the other costs of an agent usually differ: a task of some
// seconds would return to the agent on which it failed otherwise.
const maxInterferenceCost = 0.5 // seconds

// boundedInterference returns costs up to half of maxInterferenceCost as they are. Above,
// the result approaches maxInterferenceCost, so that of two agents the one with less
// interference stays cheaper.
func boundedInterference(seconds float64) float64 {
	if seconds <= maxInterferenceCost/2 {
		return seconds
	}
	return maxInterferenceCost - maxInterferenceCost*maxInterferenceCost/(4*seconds)
}

// InterferencePairs implements InterferenceReporter.
func (s *Adaptive) InterferencePairs() []interference.Pair {
	if s.interference == nil {
		return nil
	}
	return s.interference.estimator.Pairs()
}

// InterferenceChanges implements InterferenceReporter.
func (s *Adaptive) InterferenceChanges(now time.Duration) []interference.Change {
	x := s.interference
	if x == nil {
		return nil
	}
	x.estimator.Expire(now)
	changes := x.estimator.Changes()
	if len(changes) > 0 {
		x.update()
	}
	return changes
}
