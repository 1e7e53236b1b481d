// Package harness runs the roles of the system as real processes for tests and
// sends them signals. Tests synchronise on the events of these processes and on
// the task starts that the upstreams record.
package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// EventKind is the kind of an event of a process.
type EventKind string

// Kinds of events. A stand-in prints its events. The events of an entry are
// derived from the line that it prints once it listens and from its status.
const (
	// Ready means that the process listens. The event holds its addresses.
	Ready EventKind = "ready"
	// Links means that the number of agents connected to an entry changed to Count.
	Links EventKind = "links"
	// Jobs means that the number of submissions in progress at an entry changed to
	// Count.
	Jobs EventKind = "jobs"
	// Serving means that an entry has its configuration and at least one agent,
	// and accepts jobs.
	Serving EventKind = "serving"
)

// Event is an event of a process.
type Event struct {
	Kind     EventKind `json:"kind"`
	Addr     string    `json:"addr,omitempty"`     // of an entry for callers, or of an upstream; the base URL of the log
	Peer     string    `json:"peer,omitempty"`     // of an entry, for agents and other entries
	Operator string    `json:"operator,omitempty"` // of an entry, for operators
	Count    int       `json:"count"`              // of Links and Jobs
}

// parseFunc parses one line of output. It returns false if the line is no event.
type parseFunc func(line []byte) (Event, bool)

func parseJSON(line []byte) (Event, bool) {
	var e Event
	err := json.Unmarshal(line, &e)
	return e, err == nil && e.Kind != ""
}

// pollInterval is the interval at which waits check the records of starts.
const pollInterval = 5 * time.Millisecond

// Process is a process started by the harness.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	parse   parseFunc
	readers sync.WaitGroup
	exited  chan struct{}

	mu         sync.Mutex
	events     []Event
	eventAdded chan struct{} // closed and replaced when an event is added
	output     []byte        // standard error, and lines of standard output that are no events
	exitErr    error         // returned by cmd.Wait
}

// StartCommand starts a binary with additional environment variables. Its output
// is not parsed for events; Output returns all of it.
func StartCommand(name string, env []string, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	return startCmd(name, func([]byte) (Event, bool) { return Event{}, false }, cmd)
}

// StartWithInput starts a binary as StartCommand does and returns its standard input.
func StartWithInput(name, path string, args ...string) (*Process, io.WriteCloser, error) {
	cmd := exec.Command(path, args...)
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	p, err := startCmd(name, func([]byte) (Event, bool) { return Event{}, false }, cmd)
	return p, input, err
}

// startProcess starts a binary whose output is parsed for events.
func startProcess(name string, parse parseFunc, path string, args ...string) (*Process, error) {
	return startCmd(name, parse, exec.Command(path, args...))
}

func startCmd(name string, parse parseFunc, cmd *exec.Cmd) (*Process, error) {
	p := &Process{
		Name: name, cmd: cmd, parse: parse,
		exited: make(chan struct{}), eventAdded: make(chan struct{}),
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.readers.Add(2)
	go p.readOutput(stdout)
	go p.readOutput(stderr)
	go p.waitForExit()
	return p, nil
}

func (p *Process) readOutput(r io.Reader) {
	defer p.readers.Done()
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.handleLine(lines.Bytes())
	}
}

func (p *Process) handleLine(b []byte) {
	if e, ok := p.parse(b); ok {
		p.addEvent(e)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output = append(append(p.output, b...), '\n')
}

func (p *Process) addEvent(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
	close(p.eventAdded)
	p.eventAdded = make(chan struct{})
}

func (p *Process) waitForExit() {
	p.readers.Wait()
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(p.exited)
}

// EventCount returns the number of events so far. Pass it to Await to wait only
// for later events.
func (p *Process) EventCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.events)
}

// Await waits for the first event with index from or higher for which match
// returns true. It returns an error if the process exits or ctx is done before.
func (p *Process) Await(ctx context.Context, from int, match func(Event) bool) (Event, error) {
	for {
		p.mu.Lock()
		events, eventAdded := p.events, p.eventAdded
		p.mu.Unlock()
		for ; from < len(events); from++ {
			if match(events[from]) {
				return events[from], nil
			}
		}
		select {
		case <-eventAdded:
		case <-p.exited:
			return Event{}, fmt.Errorf("harness: %s exited before the awaited event: %s", p.Name, p.Output())
		case <-ctx.Done():
			return Event{}, fmt.Errorf("harness: %s: awaited event did not arrive: %w", p.Name, ctx.Err())
		}
	}
}

// Output returns the output of the process without its events.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.output)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate starts a graceful shutdown with SIGTERM.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait waits until the process has exited and returns its exit error. It returns
// another error if ctx is done before.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr
	case <-ctx.Done():
		return fmt.Errorf("harness: %s has not exited: %w", p.Name, ctx.Err())
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
