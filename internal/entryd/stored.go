package entryd

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// StoredEvents takes what became of stored jobs that this entry drives. Its
// methods must not block.
type StoredEvents interface {
	Began(job string)
	TaskEnded(x entry.TaskEnded)
	Ended(job string, outcome entry.JobOutcome, reason string)
}

// storedJobs are the stored jobs that are driven, by name and by submission.
type storedJobs struct {
	mu   sync.Mutex
	ids  map[string]wire.SubmissionID
	jobs map[wire.SubmissionID]*durable.Spec
}

func newStoredJobs() *storedJobs {
	return &storedJobs{ids: make(map[string]wire.SubmissionID), jobs: make(map[wire.SubmissionID]*durable.Spec)}
}

// add reports false if the job is driven already.
func (s *storedJobs) add(id wire.SubmissionID, spec *durable.Spec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, driven := s.ids[spec.ID]; driven {
		return false
	}
	s.ids[spec.ID] = id
	s.jobs[id] = spec
	return true
}

func (s *storedJobs) find(job string) (wire.SubmissionID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.ids[job]
	return id, ok
}

// remove returns the job of a submission that has ended, nil if it is not a
// stored one.
func (s *storedJobs) remove(id wire.SubmissionID) *durable.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec := s.jobs[id]
	if spec != nil {
		delete(s.jobs, id)
		delete(s.ids, spec.ID)
	}
	return spec
}

// reasonNotPublished says that a stored job's class is not in the configuration.
const reasonNotPublished = "class_not_published"

// DriveStored runs a stored job. Its end is told to Options.Stored.
func (e *Entry) DriveStored(d durable.Drive) {
	if !e.publishes(d.Spec.Class) {
		// Its workers are not known; the keeper offers the job again.
		e.opts.Stored.Ended(d.Spec.ID, entry.Refused, reasonNotPublished)
		return
	}
	var id wire.SubmissionID
	rand.Read(id[:]) // never fails
	if !e.stored.add(id, d.Spec) {
		e.opts.Stored.Ended(d.Spec.ID, entry.Refused, entry.ReasonDraining)
		return
	}
	ev := entry.Submit{
		Submission: id, Class: d.Spec.Class, Job: d.Spec.ID, Attempts: d.Spec.Attempts, Steps: d.Spec.Steps,
		Need: d.Spec.Steps[0].Need, Declared: d.Spec.Steps[0].Declared,
		Stored: true, Lasting: d.Spec.Lasting, Progress: d.Progress, RunBase: d.RunBase,
	}
	// A step of the time of day after this shifts what is not due yet; the next
	// drive reads it anew.
	for _, due := range d.Spec.Schedule.Due(time.Now().UnixMilli()) {
		ev.Occurrences = append(ev.Occurrences, max(0, e.clock.Now()+due))
	}
	for range d.Progress {
		ev.Payloads = append(ev.Payloads, d.Spec.Payload)
	}
	e.send(ev)
}

func (e *Entry) publishes(class string) bool {
	for _, c := range e.config.Load().Settings.Classes {
		if c.Name == class {
			return true
		}
	}
	return false
}

// HaltStored stops the runs of a stored job; its end is still told.
func (e *Entry) HaltStored(job string) {
	if id, ok := e.stored.find(job); ok {
		e.send(entry.CancelJob{Submission: id})
	}
}

// LeaseStored says until when tasks of stored jobs may be started.
func (e *Entry) LeaseStored(until time.Duration) { e.send(entry.StoredLease{Until: until}) }

// SettleStored tells an agent that it need not keep the ends of some runs.
func (e *Entry) SettleStored(s durable.Settle) {
	e.send(entry.Settled{Agent: s.Agent, Runs: s.Runs, Void: s.Void})
}

// storedAnswer handles the end of a stored job. It reports false for others.
func (e *Entry) storedAnswer(x *entry.Answer) bool {
	spec := e.stored.remove(x.Submission)
	if spec == nil {
		return false
	}
	e.log.Emit(eventlog.StoredJobEnded, eventlog.Fields{
		Job: spec.ID, Class: spec.Class, Submission: x.Submission.String(),
		Detail: x.Answer.Outcome.String() + " " + x.Answer.Reason, Count: int64(x.Answer.Started),
	})
	e.opts.Stored.Ended(spec.ID, x.Answer.Outcome, x.Answer.Reason)
	return true
}
