package harness

import (
	"fmt"
	"os"
	"path/filepath"
)

// EntrySpec describes an entry process. Empty addresses are chosen freely.
type EntrySpec struct {
	Name, Zone   string
	Listen, Peer string
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

// Launcher starts processes of each role. An entry and an upstream must print
// a Ready event.
type Launcher interface {
	Entry(EntrySpec) (*Process, error)
	Agent(AgentSpec) (*Process, error)
	Upstream(UpstreamSpec) (*Process, error)
}

// processLauncher starts agents from the real binary. Entries come from the
// node program as long as the classes of the real entry's configuration cannot
// be set without the platform's log.
type processLauncher struct {
	bin Binaries
	dir string // for settings files
}

// NewLauncher returns the launcher that tests use. dir holds settings files;
// race selects programs with the race detector.
func NewLauncher(dir string, race bool) (Launcher, error) {
	bin, err := Build(race)
	if err != nil {
		return nil, err
	}
	return &processLauncher{bin: bin, dir: dir}, nil
}

const loopback = "127.0.0.1:0"

// Entry implements Launcher.
func (l *processLauncher) Entry(s EntrySpec) (*Process, error) {
	return startProcess(s.Name, l.bin.Node, "entry", "--name", s.Name, "--zone", s.Zone,
		"--listen", orLoopback(s.Listen), "--peer", orLoopback(s.Peer))
}

// Upstream implements Launcher.
func (l *processLauncher) Upstream(s UpstreamSpec) (*Process, error) {
	return startProcess(s.Name, l.bin.Node, "upstream", "--name", s.Name,
		"--listen", orLoopback(s.Listen), "--record", s.Record)
}

const agentSettings = `name = %q
zone = %q
rack = %q
entries = [%s]
upstream = "http://%s/"
slots = %d
`

// Agent implements Launcher.
func (l *processLauncher) Agent(s AgentSpec) (*Process, error) {
	entries := ""
	for _, e := range s.Entries {
		entries += fmt.Sprintf("%q, ", e)
	}
	path := filepath.Join(l.dir, s.Name+".toml")
	text := fmt.Sprintf(agentSettings, s.Name, s.Zone, s.Rack, entries, s.Upstream, s.Slots)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return startProcess(s.Name, l.bin.Limpettrail, "agent", path)
}

func orLoopback(addr string) string {
	if addr == "" {
		return loopback
	}
	return addr
}
