package harness

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/limpettrail/limpettrail/internal/loopback"
)

// EntrySpec describes an entry process. If Listen or Peer is empty, the launcher
// chooses an address with a free port.
type EntrySpec struct {
	Name, Zone   string
	Listen, Peer string
	Advertise    string // peer address announced to other processes; empty means Peer
	LogURL       string
}

// AgentSpec describes an agent process.
type AgentSpec struct {
	Name, Zone, Rack string
	Upstream         string   // host:port
	Entries          []string // peer addresses
	Slots            int
}

// UpstreamSpec describes a process of the stand-in upstream. If Listen is empty, the
// launcher chooses an address with a free port. Record is the file that the upstream
// appends its starts to.
type UpstreamSpec struct {
	Name, Listen, Record string
}

// Launcher starts processes of each role and waits until they listen. The returned
// events are of kind Ready and hold the addresses of the process.
type Launcher interface {
	StartLog(ctx context.Context) (*Process, Event, error)
	StartEntry(ctx context.Context, s EntrySpec) (*Process, Event, error)
	StartUpstream(ctx context.Context, s UpstreamSpec) (*Process, Event, error)
	// StartAgent does not wait, because an agent reports no address.
	StartAgent(s AgentSpec) (*Process, error)
}

// processLauncher starts entries and agents from the limpettrail binary, and
// the stand-ins for the log and the upstreams from the node binary.
type processLauncher struct {
	bin         Binaries
	settingsDir string // holds the settings files
	listenAddr  string // address that processes listen on by default
}

// NewLauncher builds the binaries, with the race detector if race is set, and
// returns a launcher that writes settings files to dir.
func NewLauncher(dir string, race bool) (Launcher, error) {
	bin, err := BuildBinaries(race)
	if err != nil {
		return nil, err
	}
	return &processLauncher{bin: bin, settingsDir: dir, listenAddr: loopback.UniqueAddr()}, nil
}

// awaitReady waits for the Ready event, which holds the addresses of the
// process. It kills a process that does not become ready.
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

// StartLog implements Launcher.
func (l *processLauncher) StartLog(ctx context.Context) (*Process, Event, error) {
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

// StartEntry implements Launcher.
func (l *processLauncher) StartEntry(ctx context.Context, s EntrySpec) (*Process, Event, error) {
	text := fmt.Sprintf(entrySettings, s.Name, s.Zone, cmp.Or(s.Listen, l.listenAddr), cmp.Or(s.Peer, l.listenAddr), l.listenAddr, s.LogURL)
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

// StartUpstream implements Launcher.
func (l *processLauncher) StartUpstream(ctx context.Context, s UpstreamSpec) (*Process, Event, error) {
	p, err := startProcess(s.Name, parseJSON, l.bin.Node, "upstream", "--name", s.Name,
		"--listen", cmp.Or(s.Listen, l.listenAddr), "--record", s.Record)
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

// StartAgent implements Launcher.
func (l *processLauncher) StartAgent(s AgentSpec) (*Process, error) {
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
	path := filepath.Join(l.settingsDir, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}
