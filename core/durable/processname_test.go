package durable

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against lease records that stay in the log for good: those of processes of this VM
// at another address, or of an earlier build, whose name has no address.
func TestLeaseRecordsOfEarlierProcessesOfTheVMAreRemoved(t *testing.T) {
	var records []Record
	for i, name := range []string{"vm", ProcessName("vm", "a:1"), ProcessName("vm", "b:1"), ProcessName("vm2", "a:1"), "v@m"} {
		by := ProcessID{Incarnation: wire.Incarnation(i + 1), Name: name}
		records = append(records, encode(leaseKey(by.Incarnation), leaseRecord{By: by}))
	}
	m := New(Options{Self: ProcessID{Incarnation: 9, Name: ProcessName("vm", "b:1")}})
	m.Step(0, Read{Records: records, Snapshot: true})
	var removed []string
	for _, a := range m.Step(cleanupDelay+time.Second, Tick{}) {
		if x, ok := a.(Append); ok {
			for _, r := range x.Records {
				if len(r.Value) == 0 {
					removed = append(removed, r.Key)
				}
			}
		}
	}
	slices.Sort(removed)
	assert.DeepEqual(t, removed, []string{leaseKey(1), leaseKey(2), leaseKey(3)})
}
