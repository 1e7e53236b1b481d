package entryd

import (
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// StoredJobObserver is notified of the progress of the stored jobs that this entry
// drives. Its methods must not block.
type StoredJobObserver interface {
	// JobStarted is called when the first task of a job was sent to an agent.
	JobStarted(job string)
	// ClassFound is called when a job is driven whose class is published and not recorded.
	ClassFound(job string, class policy.Class)
	// RunFinished is called for a finished run that is to be recorded.
	RunFinished(x entry.RunFinished)
	// RunCrashed is called for a run under which a worker crashed.
	RunCrashed(x entry.RunCrashed)
	// RunRepeated is called when the task of a lost run was started again.
	RunRepeated(x entry.RunRepeated)
	// DriveEnded is called when a drive of a job is over: the job has ended, or the
	// drive was halted or refused, after which the job may be driven again.
	DriveEnded(job string, outcome entry.JobOutcome, reason string)
}

// drivenJobs holds the stored jobs that this entry drives, indexed by job and by
// submission. Each drive of a job is a submission of its own.
type drivenJobs struct {
	mu           sync.Mutex
	byJob        map[string]wire.SubmissionID
	bySubmission map[wire.SubmissionID]*durable.Spec
}

func newDrivenJobs() *drivenJobs {
	return &drivenJobs{byJob: make(map[string]wire.SubmissionID), bySubmission: make(map[wire.SubmissionID]*durable.Spec)}
}

// add adds a job. It reports false if the job is driven already.
func (s *drivenJobs) add(id wire.SubmissionID, spec *durable.Spec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.byJob[spec.ID]; running {
		return false
	}
	s.byJob[spec.ID] = id
	s.bySubmission[id] = spec
	return true
}

func (s *drivenJobs) find(job string) (wire.SubmissionID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.byJob[job]
	return id, ok
}

// remove removes and returns the stored job of a submission that has been answered.
// It returns nil if the submission is not a drive of a stored job.
func (s *drivenJobs) remove(id wire.SubmissionID) *durable.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec := s.bySubmission[id]
	if spec != nil {
		delete(s.bySubmission, id)
		delete(s.byJob, spec.ID)
	}
	return spec
}

// reasonNotPublished means that no class of the name of a stored job is in the current
// configuration, and that its class was not recorded with it.
const reasonNotPublished = "class_not_published"

// DriveStoredJob starts to drive a stored job. The end of the drive is reported to
// Options.StoredJobObserver.
func (e *Entry) DriveStoredJob(d durable.Drive) {
	class, ok := storedClass(e.config.Load().Settings.Classes, d.Spec)
	if !ok {
		// The workers of the class are not known. The keeper offers the job again.
		e.opts.StoredJobObserver.DriveEnded(d.Spec.ID, entry.Refused, reasonNotPublished)
		return
	}
	var id wire.SubmissionID
	rand.Read(id[:])               // never returns an error
	if !e.driven.add(id, d.Spec) { // an earlier drive of the job has not ended here
		e.opts.StoredJobObserver.DriveEnded(d.Spec.ID, entry.Refused, entry.ReasonDraining)
		return
	}
	ev := entry.Submit{
		Submission: id, Class: class.Name, StoredClass: class, Job: d.Spec.ID, MaxFailedRuns: d.Spec.MaxFailedRuns, Steps: d.Spec.Steps,
		Need: d.Spec.Steps[0].Need, DeclaredRunTime: d.Spec.Steps[0].DeclaredRunTime,
		Stored: true, LongRunning: d.Spec.LongRunning, Progress: d.Progress, RunBase: d.RunBase,
	}
	if d.Spec.Published.Name == "" {
		e.opts.StoredJobObserver.ClassFound(d.Spec.ID, class)
	}
	// The due times are converted to the process clock once. If the time of day is
	// stepped later, occurrences that are not due yet start at shifted times until
	// the job is run again, which reads the time of day anew.
	for _, due := range d.Spec.Schedule.Due(time.Now().UnixMilli()) {
		ev.Occurrences = append(ev.Occurrences, max(0, e.clock.Now()+due))
	}
	for range d.Progress {
		ev.Payloads = append(ev.Payloads, d.Spec.Payload)
	}
	e.send(ev)
}

// storedClass returns the class that a stored job runs in: the published one, or, if it is
// not published any more, the class as it was when the job was accepted. An accepted job is
// run whatever is published later. ok is false if neither is known.
func storedClass(published []policy.Class, spec *durable.Spec) (class policy.Class, ok bool) {
	if i := slices.IndexFunc(published, spec.InClass); i >= 0 {
		return published[i], true
	}
	class = spec.Published
	// Another class may be published under the same name.
	class.Name = fmt.Sprintf("%s@%016x", class.Name, xxhash.Sum64String(class.Address))
	return class, spec.Published.Name != ""
}

// HaltStoredJob cancels the runs of a stored job. The end of the drive is still
// reported.
func (e *Entry) HaltStoredJob(job string) {
	if id, ok := e.driven.find(job); ok {
		e.send(entry.CancelJob{Submission: id})
	}
}

// SetStoredJobLease sets the time, on Clock, until which tasks of stored jobs may be
// started.
func (e *Entry) SetStoredJobLease(until time.Duration) { e.send(entry.StoredLease{Until: until}) }

// AcknowledgeStoredRuns tells an agent that it need not retain the given finished
// runs any longer.
func (e *Entry) AcknowledgeStoredRuns(s durable.Acknowledge) {
	e.send(entry.AcknowledgedRuns{Agent: s.Agent, Runs: s.Runs, Superseded: s.Superseded})
}

// handleStoredAnswer handles the answer that ends the drive of a stored job. The job
// itself need not have ended: a drive that was halted or refused is answered too. It
// reports false if the submission is not a drive of a stored job.
func (e *Entry) handleStoredAnswer(x *entry.Answer) bool {
	spec := e.driven.remove(x.Submission)
	if spec == nil {
		return false
	}
	detail := x.Answer.Outcome.String() + " " + x.Answer.Reason
	if x.Answer.Detail != "" {
		detail += ": " + x.Answer.Detail
	}
	e.log.Emit(eventlog.StoredJobEnded, eventlog.Fields{
		Job: spec.ID, Class: spec.Class, Submission: x.Submission.String(),
		Detail: detail, Count: int64(x.Answer.Started),
	})
	e.opts.StoredJobObserver.DriveEnded(spec.ID, x.Answer.Outcome, x.Answer.Reason)
	return true
}
