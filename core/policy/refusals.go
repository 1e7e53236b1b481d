package policy

import (
	"slices"

	"github.com/limpettrail/limpettrail/core/wire"
)

// maxRefusals is how often in a row an agent may refuse a job's tasks as busy before the job
// goes to other agents first. The agent's load report does not tell which tasks fit: a task
// that needs more than is free waits for runs that may last.
const maxRefusals = 3

// refusals is the number of refusals of a job's tasks by one agent, since it last ran one.
type refusals struct {
	agent *agentState
	n     int
}

// recordRefusals counts a refusal of one of the job's tasks by the agent, and forgets them
// with any other result.
func (j *jobState) recordRefusals(a *agentState, r *wire.Result) {
	i := slices.IndexFunc(j.refusedBy, func(x refusals) bool { return x.agent == a })
	refused := r.Outcome == wire.NotRun && (r.Reason == wire.ReasonBusy || r.Reason == wire.ReasonNoRoom)
	switch {
	case !refused && i >= 0:
		j.refusedBy = slices.Delete(j.refusedBy, i, i+1)
	case refused && i >= 0:
		j.refusedBy[i].n++
	case refused:
		j.refusedBy = append(j.refusedBy, refusals{agent: a, n: 1})
	}
}

// keepsRefusing reports whether the agent has refused the job's tasks maxRefusals times in a
// row.
func (j *jobState) keepsRefusing(a *agentState) bool {
	return slices.ContainsFunc(j.refusedBy, func(x refusals) bool { return x.agent == a && x.n >= maxRefusals })
}
