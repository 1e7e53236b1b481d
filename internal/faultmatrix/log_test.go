package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/config"
)

const (
	logEpoch    = time.Hour // log time at the world's start
	replyWait   = 500 * time.Millisecond
	claimWait   = 2 * time.Second
	releaseWait = time.Second
)

type stream int

const (
	claimStream stream = iota
	configStream
)

type logRecord struct {
	offset int64
	at     time.Duration
	body   []byte
}

// platformLog is the platform's log: two lists of records. Its process may be
// paused; down refuses requests without effect.
type platformLog struct {
	proc
	w       *world
	records [2][]logRecord // every record ever, for the final check
	base    [2]int         // records below it are out of retention
	down    bool
	delay   time.Duration // of each request
	shift   time.Duration // added to log time
	// loseReplies is the number of next appends whose replies are lost.
	loseReplies int
}

func newPlatformLog(w *world) *platformLog { return &platformLog{w: w, delay: hop} }

func (l *platformLog) now() time.Duration { return logEpoch + l.w.now + l.shift }

// reply is how an append ended for its caller.
type reply int

const (
	appended reply = iota
	notAppended
	replyLost // the record may be in the log or may come later
)

// append adds a record and tells done, in the process p, how it ended. Every
// done is called once.
func (l *platformLog) append(p *proc, s stream, body []byte, done func(reply)) {
	ended := false
	end := func(r reply) {
		l.w.later(p, hop, func() {
			if !ended {
				ended = true
				done(r)
			}
		})
	}
	l.w.after(l.delay, func() {
		if l.down {
			end(notAppended)
			return
		}
		l.w.in(&l.proc, func() { l.take(s, body, end) })
	})
	l.w.after(l.delay+replyWait, func() { end(replyLost) })
}

func (l *platformLog) take(s stream, body []byte, end func(reply)) {
	l.records[s] = append(l.records[s], logRecord{int64(len(l.records[s])), l.now(), body})
	step := stepClaimWritten
	if s == configStream {
		step = stepAppended
	}
	l.w.reach(step, len(l.records[s])%entryCount, len(l.records[s])%agentCount)
	for _, e := range l.w.entries {
		l.w.later(&e.proc, l.delay, e.readLog)
	}
	if l.loseReplies > 0 {
		l.loseReplies--
		return
	}
	end(appended)
}

func (l *platformLog) readable() bool { return !l.down && !l.paused }

// expire moves log time on by more than the claims' life, so that all records
// but a snapshot of the configuration are out of retention.
func (l *platformLog) expire() {
	l.shift += 20 * time.Minute
	l.base[claimStream] = len(l.records[claimStream])
	w := l.w
	best := w.entries[0]
	for _, e := range w.entries {
		if e.version > best.version {
			best = e
		}
	}
	body, ok := best.cfg.SnapshotBody(w.changeID())
	if !ok || int(best.cfg.Next()) != len(l.records[configStream]) {
		return // the retention rule writes a snapshot first
	}
	l.base[configStream] = len(l.records[configStream])
	l.take(configStream, body, func(reply) {})
}

// configCore is the configuration machine, or a broken variant of it.
type configCore interface {
	Apply(offset int64, at time.Duration, body []byte) []config.Result
	Adopt(version int64, encoded []byte) (bool, error)
	State() *config.State
	Version() int64
	Next() int64
	Gap() (from, to int64, gap bool)
	SnapshotBody(id config.ID) ([]byte, bool)
}

// readLog follows both streams to their ends.
func (e *entryNode) readLog() {
	l := e.w.log
	if !l.readable() {
		e.askPeers()
		return
	}
	e.readConfig()
	e.readClaims()
}

func (e *entryNode) readConfig() {
	l := e.w.log
	e.cfgNext = max(e.cfgNext, l.base[configStream])
	for e.cfgNext < len(l.records[configStream]) && !e.dead && !e.paused {
		r := l.records[configStream][e.cfgNext]
		e.cfgNext++
		e.w.reach(stepRead, e.i, int(r.offset)%agentCount)
		e.cfg.Apply(r.offset, r.at, r.body)
	}
	e.configMoved()
	if _, _, gap := e.cfg.Gap(); gap || int(e.cfg.Next()) < l.base[configStream] {
		e.askPeers()
	}
}

// askPeers takes a newer configuration from the other entries.
func (e *entryNode) askPeers() {
	for _, o := range e.w.entries {
		if o != e && !o.dead && !o.paused && o.cfg.Version() > e.cfg.Version() {
			e.adopt(o.cfg.Version(), o.cfg.State().Encode())
		}
	}
}

func (e *entryNode) adopt(version int64, encoded []byte) {
	if _, err := e.cfg.Adopt(version, encoded); err != nil {
		e.w.check.fail("P8", fmt.Sprintf("a peer's configuration is not valid: %v", err))
	}
	e.configMoved()
}

func (e *entryNode) readClaims() {
	l := e.w.log
	c := &e.claims
	if base := int64(l.base[claimStream]); c.table.Next() < base {
		c.table.Skip(base, l.now()-claims.Options.ClaimTTL(c.table.Options()))
	}
	for int(c.table.Next()) < len(l.records[claimStream]) {
		r := l.records[claimStream][c.table.Next()]
		for _, v := range append([]claims.Result(nil), c.table.Apply(r.offset, r.at, r.body)...) {
			if v.Entry == e.inc {
				e.settleClaim(v)
			}
		}
	}
	c.table.Advance(l.now())
}
