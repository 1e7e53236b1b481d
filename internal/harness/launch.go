package harness

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/limpettrail/limpettrail/internal/loopback"
)

// EntrySpec describes an entry process. Empty addresses are chosen freely.
type EntrySpec struct {
	Name, Zone   string
	Listen, Peer string
	Advertise    string // peer address that others are told; empty means Peer
	LogURL       string
}

// AgentSpec describes an agent process.
type AgentSpec struct {
	Name, Zone, Rack string
	Upstream         string // host:port
	Entries          []string
	Slots            int
}

// UpstreamSpec describes a sample upstream process.
type UpstreamSpec struct {
	Name, Listen, Record string
}

// Launcher starts processes of each role and returns when they listen.
type Launcher interface {
	Log(ctx context.Context) (*Process, Event, error)
	Entry(ctx context.Context, s EntrySpec) (*Process, Event, error)
	Upstream(ctx context.Context, s UpstreamSpec) (*Process, Event, error)
	// Agent does not wait: an agent listens nowhere.
	Agent(s AgentSpec) (*Process, error)
}

// processLauncher starts entries and agents from the real binary, stand-ins
// from the node program.
type processLauncher struct {
	bin    Binaries
	dir    string // for settings files
	listen string // where processes listen unless told otherwise
}

// NewLauncher returns the launcher that tests use. dir holds settings files;
// race selects programs with the race detector.
func NewLauncher(dir string, race bool) (Launcher, error) {
	bin, err := Build(race)
	if err != nil {
		return nil, err
	}
	return &processLauncher{bin: bin, dir: dir, listen: loopback.Own()}, nil
}

// awaitReady returns the process with the event that says where it listens. A
// process that does not get there is killed.
func awaitReady(ctx context.Context, p *Process, err error) (*Process, Event, error) {
	if err != nil {
		return nil, Event{}, err
	}
	ready, err := p.Await(ctx, 0, func(e Event) bool { return e.Kind == Ready })
	if err != nil {
		p.Kill()
		return nil, Event{}, err
	}
	return p, ready, nil
}

// Log implements Launcher.
func (l *processLauncher) Log(ctx context.Context) (*Process, Event, error) {
	p, err := startProcess("log", parseJSON, l.bin.Node, "log")
	return awaitReady(ctx, p, err)
}

const entrySettings = `name = %q
zone = %q
listen = %q
peer_listen = %q
operator_listen = %q
log_url = %q
log_level = "warn"
`

// Entry implements Launcher.
func (l *processLauncher) Entry(ctx context.Context, s EntrySpec) (*Process, Event, error) {
	text := fmt.Sprintf(entrySettings, s.Name, s.Zone, cmp.Or(s.Listen, l.listen), cmp.Or(s.Peer, l.listen), l.listen, s.LogURL)
	if s.Advertise != "" {
		text += fmt.Sprintf("peer_advertise = %q\n", s.Advertise)
	}
	path, err := l.writeSettings(s.Name, text)
	if err != nil {
		return nil, Event{}, err
	}
	p, err := startProcess(s.Name, parseEntryLine, l.bin.Limpettrail, "entry", path)
	p, ready, err := awaitReady(ctx, p, err)
	if err == nil {
		go watchStatus(p, ready.Operator)
	}
	return p, ready, err
}

// Upstream implements Launcher.
func (l *processLauncher) Upstream(ctx context.Context, s UpstreamSpec) (*Process, Event, error) {
	p, err := startProcess(s.Name, parseJSON, l.bin.Node, "upstream", "--name", s.Name,
		"--listen", cmp.Or(s.Listen, l.listen), "--record", s.Record)
	return awaitReady(ctx, p, err)
}

const agentSettings = `name = %q
zone = %q
rack = %q
entries = [%s]
upstream = "http://%s/"
slots = %d
log_level = "warn"
`

// Agent implements Launcher.
func (l *processLauncher) Agent(s AgentSpec) (*Process, error) {
	entries := ""
	for _, e := range s.Entries {
		entries += fmt.Sprintf("%q, ", e)
	}
	text := fmt.Sprintf(agentSettings, s.Name, s.Zone, s.Rack, entries, s.Upstream, s.Slots)
	path, err := l.writeSettings(s.Name, text)
	if err != nil {
		return nil, err
	}
	return startProcess(s.Name, parseJSON, l.bin.Limpettrail, "agent", path)
}

func (l *processLauncher) writeSettings(name, text string) (string, error) {
	path := filepath.Join(l.dir, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}
