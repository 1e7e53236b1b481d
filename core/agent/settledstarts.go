package agent

import "github.com/limpettrail/limpettrail/core/wire"

// settleStart records that no further copy of the attempt's start can be carried out, and
// tells its entry with the next frame that is sent anyway: a result that comes before needs
// no report.
func (m *Machine) settleStart(id AttemptID) {
	rec := m.entries[id.Entry]
	if rec == nil {
		return
	}
	a := rec.attempts[id.Seq]
	if a == nil || a.state != stateRunning {
		return
	}
	a.settled = true
	if rec.up {
		rec.settledStarts = append(rec.settledStarts, id.Seq)
	}
}

// queueSettledStarts queues all settled starts of runs in progress for a new connection: the
// entry may not have received the frames on the one before.
func (rec *entryRecord) queueSettledStarts() {
	for _, a := range rec.byArrival {
		if a.state == stateRunning && a.settled {
			rec.settledStarts = append(rec.settledStarts, a.start.Seq)
		}
	}
}

// takeSettledStarts returns the settled starts for the next frame, without those of runs that
// have ended since.
func (rec *entryRecord) takeSettledStarts() []wire.Seq {
	var out []wire.Seq
	for _, seq := range rec.settledStarts {
		if a := rec.attempts[seq]; a != nil && a.state == stateRunning {
			out = append(out, seq)
		}
	}
	rec.settledStarts = rec.settledStarts[:0]
	return out
}
