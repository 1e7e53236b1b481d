package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/config"
)

const (
	logStartTime      = time.Hour // time of the log at the start of the simulation
	replyTimeout      = 500 * time.Millisecond
	claimTimeout      = 2 * time.Second
	releaseRetryDelay = time.Second
)

// stream is a stream of the platform log.
type stream int

const (
	claimStream stream = iota
	configStream
)

// logRecord is one record of a stream.
type logRecord struct {
	offset int64
	at     time.Duration
	body   []byte
}

// platformLog simulates the platform log as two lists of records. Its process may
// be paused. While it is unavailable, it rejects requests without effect.
type platformLog struct {
	proc
	sim           *simulation
	records       [2][]logRecord // all records, also expired ones, for the final check
	firstRetained [2]int         // records below this offset are out of retention
	unavailable   bool
	delay         time.Duration // of each request
	clockOffset   time.Duration // added to the time of the log
	// repliesToLose is the number of next appends whose replies are lost.
	repliesToLose int
}

func newPlatformLog(sim *simulation) *platformLog { return &platformLog{sim: sim, delay: networkDelay} }

func (l *platformLog) now() time.Duration { return logStartTime + l.sim.now + l.clockOffset }

// appendResult is the result of an append as its caller sees it.
type appendResult int

const (
	appended appendResult = iota
	notAppended
	replyLost // the record may be in the log, or may be appended later
)

// append appends a record and reports the result to done in the process p. done
// is called once, unless p exits before.
func (l *platformLog) append(p *proc, s stream, body []byte, done func(appendResult)) {
	replied := false
	reply := func(r appendResult) {
		l.sim.runLater(p, networkDelay, func() {
			if !replied {
				replied = true
				done(r)
			}
		})
	}
	l.sim.schedule(l.delay, func() {
		if l.unavailable {
			reply(notAppended)
			return
		}
		l.sim.runIn(&l.proc, func() { l.store(s, body, reply) })
	})
	l.sim.schedule(l.delay+replyTimeout, func() { reply(replyLost) })
}

// store adds the record to its stream and lets all entries read it.
func (l *platformLog) store(s stream, body []byte, reply func(appendResult)) {
	l.records[s] = append(l.records[s], logRecord{int64(len(l.records[s])), l.now(), body})
	step := stepClaimWritten
	if s == configStream {
		step = stepAppended
	}
	l.sim.reachStep(step, len(l.records[s])%entryCount, len(l.records[s])%agentCount)
	for _, e := range l.sim.entries {
		l.sim.runLater(&e.proc, l.delay, e.readLog)
	}
	if l.repliesToLose > 0 {
		l.repliesToLose--
		return
	}
	reply(appended)
}

// readable reports whether entries can read the log.
func (l *platformLog) readable() bool { return !l.unavailable && !l.paused }

// expireRecords advances the time of the log by more than the lifetime of claims,
// so that all records except a snapshot of the configuration are out of retention.
func (l *platformLog) expireRecords() {
	l.clockOffset += 20 * time.Minute
	l.firstRetained[claimStream] = len(l.records[claimStream])
	sim := l.sim
	newest := sim.entries[0]
	for _, e := range sim.entries {
		if e.configVersion > newest.configVersion {
			newest = e
		}
	}
	body, ok := newest.config.SnapshotBody(sim.newChangeID())
	if !ok || int(newest.config.Next()) != len(l.records[configStream]) {
		return // the retention rule requires a snapshot of all records first
	}
	l.firstRetained[configStream] = len(l.records[configStream])
	l.store(configStream, body, func(appendResult) {})
}

// configMachine is the configuration machine, or a broken variant of it.
type configMachine interface {
	Apply(offset int64, at time.Duration, body []byte) []config.Result
	Adopt(version int64, encoded []byte) (bool, error)
	State() *config.State
	Version() int64
	Next() int64
	Gap() (from, to int64, gap bool)
	SnapshotBody(id config.ID) ([]byte, bool)
}

// readLog reads both streams to their ends.
func (e *entryNode) readLog() {
	l := e.sim.log
	if !l.readable() {
		e.adoptFromPeers()
		return
	}
	e.readConfig()
	e.readClaims()
}

func (e *entryNode) readConfig() {
	l := e.sim.log
	e.nextConfigRecord = max(e.nextConfigRecord, l.firstRetained[configStream])
	for e.nextConfigRecord < len(l.records[configStream]) && !e.dead && !e.paused {
		r := l.records[configStream][e.nextConfigRecord]
		e.nextConfigRecord++
		e.sim.reachStep(stepRead, e.index, int(r.offset)%agentCount)
		e.config.Apply(r.offset, r.at, r.body)
	}
	e.applyConfig()
	if _, _, gap := e.config.Gap(); gap || int(e.config.Next()) < l.firstRetained[configStream] {
		e.adoptFromPeers()
	}
}

// adoptFromPeers adopts newer configurations of other entries.
func (e *entryNode) adoptFromPeers() {
	for _, o := range e.sim.entries {
		if o != e && !o.dead && !o.paused && o.config.Version() > e.config.Version() {
			e.adopt(o.config.Version(), o.config.State().Encode())
		}
	}
}

func (e *entryNode) adopt(version int64, encoded []byte) {
	if _, err := e.config.Adopt(version, encoded); err != nil {
		e.sim.checker.report("P8", fmt.Sprintf("the configuration from a peer is not valid: %v", err))
	}
	e.applyConfig()
}

func (e *entryNode) readClaims() {
	l := e.sim.log
	c := &e.claims
	if first := int64(l.firstRetained[claimStream]); c.table.Next() < first {
		c.table.Skip(first, l.now()-claims.Options.ClaimTTL(c.table.Options()))
	}
	for int(c.table.Next()) < len(l.records[claimStream]) {
		r := l.records[claimStream][c.table.Next()]
		for _, v := range append([]claims.Result(nil), c.table.Apply(r.offset, r.at, r.body)...) {
			if v.Entry == e.incarnation {
				e.resolveClaim(v)
			}
		}
	}
	c.table.Advance(l.now())
}
