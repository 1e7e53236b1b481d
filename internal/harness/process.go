// Package harness runs the system's roles as real processes for tests, sends
// them signals, and waits for points of a run by watching the processes' own
// events and the upstreams' records of starts.
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

// Kind names an event of a node process.
type Kind string

// Events of processes. A stand-in prints them; those of an entry come from the
// line that it prints at its start and from its status.
const (
	// Ready: the process listens; its addresses are set.
	Ready Kind = "ready"
	// Links: the number of agents connected to an entry changed.
	Links Kind = "links"
	// Jobs: the number of submissions in progress at an entry changed.
	Jobs Kind = "jobs"
	// Serving: an entry has its configuration and an agent, and accepts jobs.
	Serving Kind = "serving"
)

// Event is one event of a process.
type Event struct {
	Kind     Kind   `json:"kind"`
	Addr     string `json:"addr,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Operator string `json:"operator,omitempty"`
	Count    int    `json:"count"`
}

// parseFunc finds the event in one line of output.
type parseFunc func(line []byte) (Event, bool)

func parseJSON(line []byte) (Event, bool) {
	var e Event
	err := json.Unmarshal(line, &e)
	return e, err == nil && e.Kind != ""
}

// pollPeriod is how often waits look again at files and tables.
const pollPeriod = 5 * time.Millisecond

// Process is a process that the harness started.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	parse parseFunc
	out   sync.WaitGroup
	done  chan struct{}

	mu     sync.Mutex
	events []Event
	grown  chan struct{} // closed and replaced when an event arrives
	text   []byte        // standard error and lines that are no events
	err    error         // of Wait
}

// StartPlain starts a binary with variables added to the environment. Its output
// is kept as text.
func StartPlain(name string, env []string, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	return startCommand(name, func([]byte) (Event, bool) { return Event{}, false }, cmd)
}

// startProcess starts a binary. Its output is read for events.
func startProcess(name string, parse parseFunc, path string, args ...string) (*Process, error) {
	return startCommand(name, parse, exec.Command(path, args...))
}

func startCommand(name string, parse parseFunc, cmd *exec.Cmd) (*Process, error) {
	p := &Process{
		Name: name, cmd: cmd, parse: parse,
		done: make(chan struct{}), grown: make(chan struct{}),
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
	p.out.Add(2)
	go p.read(stdout)
	go p.read(stderr)
	go p.reap()
	return p, nil
}

func (p *Process) read(r io.Reader) {
	defer p.out.Done()
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.line(lines.Bytes())
	}
}

func (p *Process) line(b []byte) {
	if e, ok := p.parse(b); ok {
		p.add(e)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = append(append(p.text, b...), '\n')
}

func (p *Process) add(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
	close(p.grown)
	p.grown = make(chan struct{})
}

func (p *Process) reap() {
	p.out.Wait()
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Events returns the number of events so far, as the start of a later Await.
func (p *Process) Events() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.events)
}

// Await returns the first event, from number from on, for which match is true.
func (p *Process) Await(ctx context.Context, from int, match func(Event) bool) (Event, error) {
	for {
		p.mu.Lock()
		events, grown := p.events, p.grown
		p.mu.Unlock()
		for ; from < len(events); from++ {
			if match(events[from]) {
				return events[from], nil
			}
		}
		select {
		case <-grown:
		case <-p.done:
			return Event{}, fmt.Errorf("harness: %s ended before the event: %s", p.Name, p.Text())
		case <-ctx.Done():
			return Event{}, fmt.Errorf("harness: %s: no such event: %w", p.Name, ctx.Err())
		}
	}
}

// Text returns what the process printed apart from events.
func (p *Process) Text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.text)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process with SIGSTOP; Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate begins the planned stop with SIGTERM.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait returns when the process has ended, with its exit error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("harness: %s has not ended: %w", p.Name, ctx.Err())
	}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// fileExists reports whether a file can be examined.
func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
