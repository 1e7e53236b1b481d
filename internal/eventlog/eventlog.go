// Package eventlog writes numbered events to the structured log and to the
// timeline of the process.
//
// Every event is defined once, in a catalog_*.go file of this package, and
// described in docs/events.md. A test compares the two.
package eventlog

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/limpettrail/limpettrail/core/timeline"
)

// Code is the number of an event. The ranges begin at 1000 for the entry, 2000
// for the agent, 3000 for the platform log, 4000 for operator commands and 5000
// for stand-ins and tools.
type Code int

// Def is the definition of an event.
type Def struct {
	Code  Code
	Name  string // snake_case, stable
	Level zapcore.Level
	// PerTask is set for events that occur for each task or job. Their level is
	// debug: the timeline always has them, the log only if that level is enabled.
	PerTask bool
}

var catalog = map[Code]Def{}

// define registers an event. It panics if the code is already defined.
func define(code Code, name string, level zapcore.Level, perTask bool) Code {
	if _, defined := catalog[code]; defined {
		panic("eventlog: duplicate event code " + strconv.Itoa(int(code)))
	}
	catalog[code] = Def{Code: code, Name: name, Level: level, PerTask: perTask}
	return code
}

// Catalog returns all defined events, sorted by code.
func Catalog() []Def {
	out := make([]Def, 0, len(catalog))
	for _, d := range catalog {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Def) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

// Fields are the typed fields of an event. Zero fields are omitted.
type Fields struct {
	Submission string
	Job        string // name that the caller gave the job
	Class      string
	Task       int // task index plus 1; 0 means no task
	Peer       string
	Detail     string
	Count      int64 // its meaning depends on the event
	Duration   time.Duration
	Version    int64         // version of the configuration on which the decision is based
	Age        time.Duration // age of the input on which the decision is based
	Err        error
}

// timelineCapacity is the number of events in the timeline. It bounds the memory
// of the timeline to a few megabytes.
const timelineCapacity = 16384

// Log writes the events of one process. A nil *Log discards them.
type Log struct {
	zap         *zap.Logger
	clock       *timeline.Clock
	ring        *timeline.Ring
	process     string
	incarnation uint64
}

// New returns a log for one process. The zap logger may be zap.NewNop().
func New(z *zap.Logger, process string, incarnation uint64) *Log {
	return &Log{
		zap:         z.With(zap.String("process", process), zap.String("incarnation", strconv.FormatUint(incarnation, 16))),
		clock:       new(timeline.Clock),
		ring:        timeline.NewRing(timelineCapacity),
		process:     process,
		incarnation: incarnation,
	}
}

// Emit writes one event.
func (l *Log) Emit(code Code, f Fields) {
	if l == nil {
		return
	}
	def := catalog[code]
	l.ring.Add(timeline.Event{
		Stamp:       l.Stamp(),
		Process:     l.process,
		Incarnation: l.incarnation,
		Code:        int(code),
		Name:        def.Name,
		Submission:  f.Submission,
		Task:        f.Task - 1,
		Peer:        f.Peer,
		Detail:      f.Detail,
	})
	if entry := l.zap.Check(def.Level, def.Name); entry != nil {
		entry.Write(zapFields(code, f)...)
	}
}

func zapFields(code Code, f Fields) []zap.Field {
	out := []zap.Field{zap.Int("event", int(code))}
	if f.Submission != "" {
		out = append(out, zap.String("submission", f.Submission))
	}
	if f.Job != "" {
		out = append(out, zap.String("job", f.Job))
	}
	if f.Class != "" {
		out = append(out, zap.String("class", f.Class))
	}
	if f.Task > 0 {
		out = append(out, zap.Int("task", f.Task-1))
	}
	if f.Peer != "" {
		out = append(out, zap.String("peer", f.Peer))
	}
	if f.Detail != "" {
		out = append(out, zap.String("detail", f.Detail))
	}
	if f.Count != 0 {
		out = append(out, zap.Int64("count", f.Count))
	}
	if f.Duration != 0 {
		out = append(out, zap.Duration("duration", f.Duration))
	}
	if f.Version != 0 {
		out = append(out, zap.Int64("config", f.Version))
	}
	if f.Age != 0 {
		out = append(out, zap.Duration("age", f.Age))
	}
	if f.Err != nil {
		// zap.Error would add the stack trace of an errorx error, a kilobyte per line.
		out = append(out, zap.String("error", f.Err.Error()))
	}
	return out
}

// Stamp returns the timestamp for an outgoing frame.
func (l *Log) Stamp() timeline.Stamp {
	if l == nil {
		return 0
	}
	return l.clock.Now(time.Now().UnixMicro())
}

// Observe records the timestamp of a received frame, so that later ones exceed it.
func (l *Log) Observe(s timeline.Stamp) {
	if l != nil {
		l.clock.Observe(time.Now().UnixMicro(), s)
	}
}

// Timeline returns the recent events of the process for which keep returns true.
func (l *Log) Timeline(keep func(*timeline.Event) bool) []timeline.Event {
	if l == nil {
		return nil
	}
	return l.ring.Events(keep)
}
