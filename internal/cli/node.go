package cli

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/node"
	"github.com/limpettrail/limpettrail/platform"
)

const (
	// stopReserve is subtracted from the time that the platform gives a process to
	// stop, so that the process exits before the platform kills it.
	stopReserve        = 700 * time.Millisecond
	defaultStopGrace   = 6 * time.Second
	dropReportInterval = 5 * time.Second
	roleEntry          = "entry"
	roleAgent          = "agent"
)

type nodeArgs struct {
	LogLevel     string `arg:"--log-level" default:"info" help:"least level that is logged: debug, info, warn or error"`
	Interference string `arg:"--interference" default:"off" help:"entry: what is done about classes of tasks that slow each other down on one worker: off, observe or separate"`
	Role         string `arg:"positional,required" help:"entry or agent"`
}

// example returns the command line that the help text shows.
func (*nodeArgs) example() string {
	return platform.SettingsVariable + "=/etc/limpettrail/boot.yaml limpettrail node agent"
}

func (a *nodeArgs) run(stdout, stderr io.Writer) int {
	interference, err := policy.ParseInterference(a.Interference)
	if err == nil && a.Role == roleAgent && interference != policy.InterferenceOff {
		err = errors.New("--interference is an option of the entry; agents need no setting")
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	signals := notifySignals()
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	level, err := zapcore.ParseLevel(a.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	shares, err := ingress.SharesOf(s.Machine)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	limitMemory(shares)
	sink := eventlog.NewSink(stdout)
	defer sink.Sync()
	incarnation := wire.Incarnation(rand.Uint64() | 1)
	events := eventlog.New(sink.Logger(level), s.Name, uint64(incarnation))
	go reportDroppedLines(sink, events)
	var p process
	switch a.Role {
	case roleEntry:
		p, err = node.StartEntry(s, events, incarnation, interference)
	case roleAgent:
		p, err = node.StartAgent(s, events)
	default:
		fmt.Fprintf(stderr, "role %q: want %q or %q\n", a.Role, roleEntry, roleAgent)
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	grace := s.StopGrace
	if grace <= 0 {
		grace = defaultStopGrace
	}
	return serve(signals, p, max(grace-stopReserve, grace/2), func() error { return nil }, stderr)
}

// reportDroppedLines emits the number of log lines that were dropped in each
// dropReportInterval, if any.
func reportDroppedLines(sink *eventlog.Sink, events *eventlog.Log) {
	reported := int64(0)
	for range time.Tick(dropReportInterval) {
		if n := sink.Dropped(); n > reported {
			events.Emit(eventlog.LogLinesDropped, eventlog.Fields{Count: n - reported})
			reported = n
		}
	}
}
