package fleet

import (
	"net/netip"
	"strconv"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/wire"
)

// processName returns the name under which the log of stored jobs knows an entry process, see
// durable.ProcessID. It has the address at which the process listens for agents: while an
// earlier process of the VM is alive, the next one cannot listen there. A process with the
// name of the VM at another address may replace one that goes on. A wildcard address does
// not tell the VM, so it proves nothing about a process at the same one.
func processName(vm, listenAddr string, self wire.Incarnation) string {
	if addr, err := netip.ParseAddrPort(listenAddr); err != nil || addr.Addr().IsUnspecified() {
		return durable.ProcessName(vm, strconv.FormatUint(uint64(self), 16))
	}
	return durable.ProcessName(vm, listenAddr)
}
