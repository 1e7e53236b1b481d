package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a run that goes on for too long after its caller left: its lease was renewed
// with a clock reading newer than the last look at the callers' connections.
func TestLeaseIsRenewedAsOfTheLastCheckOfCallers(t *testing.T) {
	for _, resend := range []time.Duration{0, resendDelay} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler), HeartbeatInterval: time.Millisecond, ResendDelay: resend})
		m.Step(0, linkUp(1, 0))
		now := time.Duration(0)
		echo := func() wire.Micros {
			now += time.Millisecond
			actions := m.Step(now, entry.Tick{})
			assert.Equal(t, len(actions), 1)
			return actions[0].(entry.Send).Frame.ClockEcho
		}
		read := func(clock wire.Micros) {
			m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{AgentClock: clock}})
		}
		read(100)
		m.Step(now, entry.CallersChecked{})
		read(200)
		if resend == 0 {
			assert.Equal(t, echo(), wire.Micros(200), "callers do not send jobs again")
			continue
		}
		assert.Equal(t, echo(), wire.Micros(100))
		m.Step(now, entry.CallersChecked{})
		assert.Equal(t, echo(), wire.Micros(200))
	}
}
