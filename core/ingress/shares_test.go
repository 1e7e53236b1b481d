package ingress

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against shares that exceed the machine, against a machine that is too small and is
// not rejected, and against limits that a request within the published ones meets.
func TestSharesFitTheMachine(t *testing.T) {
	for mb := minMemory / megabyte; mb < 4096; mb += 4 {
		for _, fds := range []int{0, minDescriptors, 3075, 10250} {
			s, err := SharesOf(Machine{Memory: mb * megabyte, Descriptors: fds})
			assert.NilError(t, err)
			sum, conns := ownMemory+s.AnswerBytes, ownDescriptors
			for _, l := range []Limits{s.Callers, s.Peers, s.Operators, s.Ready} {
				sum += l.Bytes + l.Closing()
				conns += l.Connections
			}
			assert.Assert(t, sum+mb*megabyte/6 <= mb*megabyte, "%d MB: the shares take %d", mb, sum)
			assert.Assert(t, fds == 0 || conns <= fds, "%d descriptors: the shares take %d", fds, conns)
			assert.Assert(t, s.MemoryLimit < mb*megabyte)
			body := int64(256<<10 + 128<<10)
			largest := s.Callers.ConnectionCost + RequestCost + HeaderCost(16384, 16384/3) + body + 16*256<<10
			assert.Assert(t, largest <= s.Callers.Bytes*(reserveShare-1)/reserveShare)
			sum += s.Frames
			assert.Assert(t, sum+mb*megabyte/6 <= mb*megabyte, "%d MB: the shares take %d with frames", mb, sum)
			if mb >= 144 {
				assert.Assert(t, s.Peers.Connections >= 1200 || fds == minDescriptors)
				assert.Assert(t, 240*(peerCost+HelloCost) <= s.Peers.Bytes)
				assert.Assert(t, 10*megabyte <= s.Frames, "a frame of 4 MB, its buffer and 2 MB of short elements")
			}
		}
	}
	for want, m := range map[string]Machine{
		"limits.memoryMb: got 119, want at least 120": {Memory: 119 * megabyte},
		"limits.maxFds: got 1023, want at least 1024": {Descriptors: 1023},
	} {
		_, err := SharesOf(m)
		assert.Error(t, err, want)
	}
}
