package lease

import "time"

// Options configures a Machine. Zero values take the defaults.
type Options struct {
	// Lease is how long runs continue after the last renewal. Default 700 ms.
	Lease time.Duration
	// PollWait is how long the worker may delay the answer to a poll while no
	// run ends. Each poll renews the lease, and a lost poll delays the report of
	// ended runs by this time. Default 150 ms: four polls within a lease. Polls of a
	// worker that has left a call unanswered wait at most unreliablePollWait.
	PollWait time.Duration
	// StopRetry is the interval between stop requests for one run. Default 150 ms.
	StopRetry time.Duration
	// AckDelay is how long the acknowledgement of ended runs may wait for a poll
	// that is needed anyway. Default 250 ms.
	AckDelay time.Duration
	// RetainedRuns lists the finished runs of stored jobs that an earlier agent process
	// left in the worker's list. Each is retained there until its AcknowledgeRun
	// or until the lease has expired.
	RetainedRuns []EndedRun
	// Incarnation is the worker incarnation that listed RetainedRuns, 0 if not known. The
	// numbers of these runs mean nothing to a later one.
	Incarnation int64
}

// Defaults of Options.
const (
	DefaultLease     = 700 * time.Millisecond
	DefaultPollWait  = 150 * time.Millisecond
	DefaultStopRetry = 150 * time.Millisecond
	DefaultAckDelay  = 250 * time.Millisecond
)

const (
	// slowestClockRate allows for a worker's clock that is up to 2% slow: a
	// duration on that clock takes up to the duration divided by this rate.
	slowestClockRate = 0.98
	// expiryMargin is added to a lease before its runs count as ended, because
	// the worker takes a short time to end them.
	expiryMargin = 60 * time.Millisecond
	// maxStartAttempts is how often a start is sent in total if it gets no answer.
	// The retry is idempotent: the worker identifies the run by its number.
	maxStartAttempts = 3
	// maxClockAge bounds the age of the last reading of the worker's clock. The estimate
	// is then behind that clock by at most 40 ms, 2% of the age.
	maxClockAge = 2 * time.Second
	// maxClockReorder is by how much a reading of the worker's clock may be behind the one
	// that was handled before it, because answers are not handled in the order in which
	// they were given: the longest wait of a call.
	maxClockReorder = 200 * time.Millisecond
	// unreliablePollWait and unreliablePeriod: a worker that has left a call unanswered is
	// polled with short waits for a time, because it may leave the next poll unanswered
	// as well, and the ends of runs are not seen until that poll times out.
	unreliablePollWait = 30 * time.Millisecond
	unreliablePeriod   = 3 * time.Second
	// pollRetry is the delay after a failed poll while runs are open. Polls that
	// fail immediately would otherwise follow each other without a pause.
	pollRetry = 10 * time.Millisecond
	// idlePollRetry is the delay after a failed poll while no run is open. A
	// delayed start that takes effect in the worker's next incarnation is found
	// and stopped within about this time.
	idlePollRetry = 50 * time.Millisecond
	// unansweredStopRetry is the delay before a stop call that got no answer is
	// repeated. The lease is not renewed until the run is known to have ended, so all
	// runs at a worker that left a few stops unanswered would end with it.
	unansweredStopRetry = 25 * time.Millisecond
	// maxSendDelay is how long after it was emitted a call may be sent that starts a run or
	// renews the lease. It is below the 400 ms after which an entry gives up a lost agent.
	maxSendDelay = 350 * time.Millisecond
	// minRestartTime is how long after the sending of a poll that was answered the worker
	// is assumed to be the same incarnation: a restart takes longer. It covers PollWait,
	// by which the answer may be delayed.
	minRestartTime = 300 * time.Millisecond
	// maxAckAge is how long after the worker gave an answer to a poll the next poll may
	// acknowledge ended runs. It is below the 60 ms in which the emulated worker restarts.
	// minRestartTime alone let a worker restart in between whose agent made no call.
	maxAckAge = 40 * time.Millisecond
	// ackPatience bounds the time for which maxAckAge may hold back acknowledgements.
	ackPatience = time.Second
	// ackPatienceAnswers is the number of answers that must have come meanwhile: a worker
	// that was silent for that time, or a process that stood still, is no reason.
	ackPatienceAnswers = 5
	// retainedPollInterval is the minimum interval between polls while finished runs
	// are retained or left to the next agent: the worker lists them again in each answer
	// and may answer without waiting for a new one.
	retainedPollInterval = 15 * time.Millisecond
)

func (o Options) withDefaults() Options {
	orDefault(&o.Lease, DefaultLease)
	orDefault(&o.PollWait, DefaultPollWait)
	orDefault(&o.StopRetry, DefaultStopRetry)
	orDefault(&o.AckDelay, DefaultAckDelay)
	return o
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
