package policy

import "math"

// ratio is a moving share of successes among recent outcomes.
type ratio struct {
	good, all float64
}

const ratioDecay = 0.99 // weight of the past after each outcome: about 100 count

func (r *ratio) add(good bool) {
	r.all = r.all*ratioDecay + 1
	r.good *= ratioDecay
	if good {
		r.good++
	}
}

// addCounts adds outcomes that a counter reported together.
func (r *ratio) addCounts(good, bad uint64) {
	n := float64(good + bad)
	past := math.Pow(ratioDecay, n)
	r.all = r.all*past + n
	r.good = r.good*past + float64(good)
}

// share returns the share of successes, assuming success without evidence.
func (r *ratio) share() float64 { return (r.good + 1) / (r.all + 1) }
