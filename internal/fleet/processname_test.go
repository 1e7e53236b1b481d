package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against two runs of one task: a process takes the jobs of one that goes on beside it
// under the same name of the VM over as if that one had ended, which only a listener at the
// same address proves. Guards against a restart at that address that has to wait for the
// lease of the process before.
func TestOnlyProcessesAtOneAddressHaveOneName(t *testing.T) {
	type process struct {
		vm, addr string
		self     wire.Incarnation
	}
	earlier := process{"vm", "10.0.0.1:7100", 1}
	for _, c := range []struct {
		earlier, next process
		same          bool
	}{
		{earlier, process{"vm", "10.0.0.1:7100", 2}, true},
		{earlier, process{"vm", "10.0.0.2:7100", 2}, false},
		{earlier, process{"vm", "10.0.0.1:7101", 2}, false},
		{earlier, process{"other", "10.0.0.1:7100", 2}, false},
		{process{"vm", "[::1]:7100", 1}, process{"vm", "[::1]:7100", 2}, true},
		{process{"vm", "[::]:7100", 1}, process{"vm", "[::]:7100", 2}, false},
		{process{"vm", "0.0.0.0:7100", 1}, process{"vm", "0.0.0.0:7100", 2}, false},
		{process{"vm", "", 1}, process{"vm", "", 2}, false},
	} {
		a, b := c.earlier, c.next
		assert.Equal(t, processName(a.vm, a.addr, a.self) == processName(b.vm, b.addr, b.self), c.same, "%v and %v", a, b)
	}
}
