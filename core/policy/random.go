package policy

import (
	"hash/fnv"
	"math/bits"
)

// random is a splitmix64 generator: small, fast, and with the same sequence on every
// platform.
type random struct{ state uint64 }

func newRandom(seed uint64) random { return random{state: seed} }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// float returns a number in [0, 1).
func (r *random) float() float64 { return float64(r.next()>>11) / (1 << 53) }

// below returns a number in [0, n).
func (r *random) below(n int) int {
	hi, _ := bits.Mul64(r.next(), uint64(n))
	return int(hi)
}

// rackBucket maps a rack name to one of rackBuckets counters.
func rackBucket(rack string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(rack))
	return int(h.Sum32() % rackBuckets)
}
