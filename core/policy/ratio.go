package policy

import "math"

// ratio is the share of successes among recent outcomes, with exponential decay.
type ratio struct {
	successes, total float64
}

const ratioDecay = 0.99 // weight of earlier outcomes after each outcome: about the last 100 count

func (r *ratio) add(success bool) {
	r.total = r.total*ratioDecay + 1
	r.successes *= ratioDecay
	if success {
		r.successes++
	}
}

// addCounts adds several outcomes of unknown order.
func (r *ratio) addCounts(successes, failures uint64) {
	n := float64(successes + failures)
	decay := math.Pow(ratioDecay, n)
	r.total = r.total*decay + n
	r.successes = r.successes*decay + float64(successes)
}

// share returns the share of successes, which is 1 without outcomes.
func (r *ratio) share() float64 { return (r.successes + 1) / (r.total + 1) }
