package interference

import (
	"math"
	"time"
)

// workspace is memory for evaluations.
type workspace struct {
	total   sums
	factor  []float64 // Cholesky factor, lower triangle
	slopes  []float64
	effect  []float64
	part    []float64         // effects of one solution
	weights []float64         // of the slopes in an effect
	jack    [groups][]float64 // effects without one group
}

// evaluate updates which neighbours of a victim count.
func (e *Estimator) evaluate(now time.Duration, vi int, v *victim) {
	w := &e.work
	n := len(e.names)
	used := v.totals(w, n, -1)
	if used < minGroups || !w.solve() {
		return
	}
	informed := w.informed(v.scale)
	w.effects(vi, v, informed)
	variance := w.noise() * v.scale // of a run of weight 1
	w.effect = append(w.effect[:0], w.part...)
	errs := make([]float64, n)
	candidate := false
	for c := range errs {
		if !informed[c] {
			continue
		}
		errs[c] = math.Sqrt(variance * w.contrastVariance(vi, v, informed, c))
		candidate = candidate || v.counts(c) || w.effect[c] >= minConfidence*errs[c]
	}
	if !candidate {
		return
	}
	v.jackknife(w, vi, n, informed)
	for c := range n {
		if !informed[c] {
			continue
		}
		errs[c] = max(errs[c], w.jackError(c))
		e.judge(now, vi, v, c, w.effect[c], errs[c])
	}
}

// judge decides whether a pair counts.
func (e *Estimator) judge(now time.Duration, vi int, v *victim, c int, effect, err float64) {
	p := v.pairs[c]
	if p == nil {
		if effect < minEffect || effect < minConfidence*err {
			return
		}
		p = &countedPair{Pair: Pair{Victim: e.names[vi], Neighbour: e.names[c], Since: now}, confirmedAt: now}
		v.pairs[c] = p
		p.Effect, p.Error, p.Runs, p.Agents = effect, err, v.weight(), len(e.agents)
		e.changes = append(e.changes, Change{Pair: p.Pair, Found: true})
		return
	}
	p.Effect, p.Error, p.Runs, p.Agents = effect, err, v.weight(), len(e.agents)
	if effect < endEffect && effect+err < minEffect {
		e.end(v, c)
		return
	}
	if effect >= endEffect && effect >= confirmedConfidence*err {
		p.confirmedAt = now
	}
}

// end makes a pair cease to count, if it does.
func (e *Estimator) end(v *victim, c int) {
	if v.counts(c) {
		e.changes = append(e.changes, Change{Pair: v.pairs[c].Pair})
		v.pairs[c] = nil
	}
}

// weight returns the effective number of runs.
func (v *victim) weight() float64 {
	sum := 0.0
	for g := range v.sums {
		sum += v.sums[g].weight
	}
	return sum / v.scale
}

// totals adds up the sums of all groups but one, and returns how many groups have runs.
func (v *victim) totals(w *workspace, n, without int) (used int) {
	t := &w.total
	t.weight, t.yy = 0, 0
	t.xx = zeroed(t.xx, n*(n+1)/2)
	t.xy = zeroed(t.xy, n)
	for g := range v.sums {
		s := &v.sums[g]
		if g == without || s.weight == 0 {
			continue
		}
		used++
		t.weight += s.weight
		t.yy += s.yy
		for i, x := range s.xx {
			t.xx[i] += x
		}
		for i, x := range s.xy {
			t.xy[i] += x
		}
	}
	for i := range n {
		t.xx[triangle(i, i)] += ridge * v.scale
	}
	return used
}

func zeroed(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// informed reports for each neighbour whether enough is known of it.
func (w *workspace) informed(scale float64) []bool {
	out := make([]bool, len(w.total.xy))
	for c := range out {
		out[c] = w.total.xx[triangle(c, c)] >= (minInformation+ridge)*scale
	}
	return out
}

// solve factors the total and computes the slopes. It returns false if the matrix is
// not positive definite.
func (w *workspace) solve() bool {
	n := len(w.total.xy)
	w.factor = append(w.factor[:0], w.total.xx...)
	l := w.factor
	for i := range n {
		for j := 0; j <= i; j++ {
			sum := l[triangle(i, j)]
			for k := range j {
				sum -= l[triangle(i, k)] * l[triangle(j, k)]
			}
			if i != j {
				l[triangle(i, j)] = sum / l[triangle(j, j)]
				continue
			}
			if sum <= 0 {
				return false
			}
			l[triangle(i, i)] = math.Sqrt(sum)
		}
	}
	w.slopes = append(w.slopes[:0], w.total.xy...)
	w.forward(w.slopes)
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			w.slopes[i] -= l[triangle(k, i)] * w.slopes[k]
		}
		w.slopes[i] /= l[triangle(i, i)]
	}
	return true
}

// forward solves L z = b in place, where L is the factor.
func (w *workspace) forward(b []float64) {
	for i := range b {
		for k := range i {
			b[i] -= w.factor[triangle(i, k)] * b[k]
		}
		b[i] /= w.factor[triangle(i, i)]
	}
}

// noise returns the weighted variance of the residuals around the regression.
func (w *workspace) noise() float64 {
	explained := 0.0
	for c, b := range w.slopes {
		explained += b * w.total.xy[c]
	}
	return max(w.total.yy-explained, 0) / w.total.weight
}

// contrast sets z to the weight of each slope in the effect of neighbour c on victim vi:
// 1 for c itself, and less the mean over other informed neighbours.
//
// The victim's own class is left out of that mean, because its slope is biased: of tasks
// of one job that start together, the longer ones have fewer of the others beside them.
// (Slopes of -0.03 to -0.06 instead of -0.02 without any interference, jobs of 1 to 4
// tasks.) Neighbours that count as interfering are left out too, unless all do.
func (w *workspace) contrast(z []float64, vi int, v *victim, informed []bool, c int) {
	clear(z)
	z[c] = 1
	for _, leaveOut := range [...]bool{true, false} {
		total := 0.0
		base := func(d int) bool {
			return d != c && d != vi && informed[d] && !(leaveOut && v.counts(d))
		}
		for d := range informed {
			if base(d) {
				total += w.total.xx[triangle(d, d)]
			}
		}
		if total == 0 {
			continue
		}
		for d := range informed {
			if base(d) {
				z[d] = -w.total.xx[triangle(d, d)] / total
			}
		}
		return
	}
	switch {
	case c == vi || !informed[vi]:
		z[c] = 0 // there is nothing to compare the only neighbour with
	case w.slopes[vi] > 0:
		z[vi] = -1 // there is no third class
	}
}

// effects computes the effect of each informed neighbour into w.part.
func (w *workspace) effects(vi int, v *victim, informed []bool) {
	w.part = zeroed(w.part, len(informed))
	w.weights = zeroed(w.weights, len(informed))
	for c := range informed {
		if !informed[c] {
			continue
		}
		w.contrast(w.weights, vi, v, informed, c)
		for d, weight := range w.weights {
			w.part[c] += weight * w.slopes[d]
		}
	}
}

// contrastVariance returns the variance of the effect of c for noise of variance 1.
func (w *workspace) contrastVariance(vi int, v *victim, informed []bool, c int) float64 {
	w.weights = zeroed(w.weights, len(informed))
	w.contrast(w.weights, vi, v, informed, c)
	w.forward(w.weights)
	sum := 0.0
	for _, x := range w.weights {
		sum += x * x
	}
	return sum
}

// jackknife computes the effects without each group.
func (v *victim) jackknife(w *workspace, vi, n int, informed []bool) {
	for g := range v.sums {
		w.jack[g] = w.jack[g][:0]
		if v.sums[g].weight == 0 {
			continue
		}
		v.totals(w, n, g)
		if !w.solve() {
			continue
		}
		w.effects(vi, v, informed)
		w.jack[g] = append(w.jack[g], w.part...)
	}
}

// jackError returns the standard error of the effect of c by the jackknife.
func (w *workspace) jackError(c int) float64 {
	sum, count := 0.0, 0.0
	for _, effects := range w.jack {
		if len(effects) > 0 {
			sum += effects[c]
			count++
		}
	}
	if count < minGroups {
		return math.Inf(1)
	}
	squares := 0.0
	for _, effects := range w.jack {
		if len(effects) > 0 {
			d := effects[c] - sum/count
			squares += d * d
		}
	}
	return math.Sqrt((count - 1) / count * squares)
}
