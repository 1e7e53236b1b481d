package overload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/platform"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

// publishedConfig states the limits that callers are told. The job ID is the rest of the
// path after the prefix.
const publishedConfig = `{"version": 100, "routes": [{"name": "quotes", "host": "desk.example", "pathPrefix": "/quotes/",
	"type": "unsafe", "timeoutMs": 20000, "targetLatencyMs": 60, "service": "svc", "maxAttempts": 4, "slackFactor": 1.6}],
	"services": [{"name": "svc", "preconditions": true}],
	"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}`

const (
	ordinaryJob = `{"bestEffort": true, "spec": "cpu=100", "phases": [{"count": 1, "cpu": 100, "memMb": 1, "estimatedMs": 50}]}`
	// ordinaryHeartbeat is ignored because the worker has announced a later incarnation.
	ordinaryHeartbeat = `{"service": "svc", "slots": 8, "state": "ready", "sequence": 1, "born": 1, "capacity": {"cpu": 1, "memMb": 1}, "labels": []}`
	heartbeatPath     = "/limpettrail/executors/i-0/heartbeat"
	// An ordinary request may be refused under load, so it is sent up to maxTries times, the
	// first one up to startTries times.
	maxTries   = 40
	startTries = 240
	tryPause   = 250 * time.Millisecond
	tryTimeout = 5 * time.Second
	// exchangeTimeout exceeds the deadline that a request at the limits states.
	exchangeTimeout = 30 * time.Second
	sampleInterval  = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// limits are those of the machine, as its settings file states them.
type limits struct {
	memoryMB int64
	maxFDs   int
}

// Limits of the smallest machines, and of ones with so few descriptors that a small crowd
// could use them up.
var (
	smallEntry = limits{144, 3075}
	smallAgent = limits{152, 4096}
	fewEntry   = limits{144, 1536}
	fewAgent   = limits{152, 1536}
)

// system is an entry and an agent with the emulated store and worker.
type system struct {
	*emulator.Cluster
	entry, agent *harness.Process
}

// start starts the processes and waits until a job is completed.
func start(t *testing.T, entryLimits, agentLimits limits) *system {
	bin, err := harness.BuildBinaries(false)
	assert.NilError(t, err)
	c, err := emulator.StartCluster(emulator.ClusterOptions{Entries: 1, Workers: 1, Seed: 1, External: true})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	c.Store.Put("keyed.op", "config", []byte(publishedConfig))
	s := &system{Cluster: c}
	dir := t.TempDir()
	startVM := func(vm int, role string, l limits) *harness.Process {
		file := filepath.Join(dir, role+".yaml")
		data := fmt.Appendf(c.SettingsFile(vm), "limits:\n  memoryMb: %d\n  maxFds: %d\n", l.memoryMB, l.maxFDs)
		assert.NilError(t, os.WriteFile(file, data, 0o600))
		p, err := harness.StartCommand(role, []string{platform.SettingsVariable + "=" + file}, bin.Limpettrail, "node", role)
		assert.NilError(t, err)
		t.Cleanup(p.Kill)
		return p
	}
	s.entry, s.agent = startVM(0, "entry", entryLimits), startVM(1, "agent", agentLimits)
	mustAnswer(t, "job in calm", startTries, s.job)
	if t.Failed() {
		t.Fatalf("not ready; entry: %s\nagent: %s", s.entry.Output(), s.agent.Output())
	}
	return s
}

// mustAnswer makes an ordinary request until it is answered as expected.
func mustAnswer(t *testing.T, what string, tries int, request func() error) {
	t.Helper()
	var err error
	for try := range tries {
		if err = request(); err == nil {
			t.Logf("%s: answered at try %d", what, try+1)
			return
		}
		time.Sleep(tryPause)
	}
	t.Errorf("%s: not answered in %d tries: %v", what, tries, err)
}

// jobCount numbers the jobs of this process.
var jobCount atomic.Uint64

func newJobPath() string { return fmt.Sprintf("/quotes/%016x", 0xabc0000000000000+jobCount.Add(1)) }

// post sends a request over a new connection. A status other than 200 is an error.
func post(addr, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Close = emulator.Host, true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, reply)
	}
	return err
}

// exchange sends a request as it is over a new connection. A status other than 200 is an
// error.
func exchange(addr string, request []byte) error {
	conn, err := net.DialTimeout("tcp", addr, tryTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := conn.Write(request); err != nil {
		return err
	}
	reply, err := io.ReadAll(conn)
	if err == nil && !bytes.HasPrefix(reply, []byte("HTTP/1.1 200 ")) {
		err = fmt.Errorf("reply %q", reply)
	}
	return err
}

// job has a job completed.
func (s *system) job() error { return post(s.Settings(0).CallerAddr, newJobPath(), ordinaryJob) }

// heartbeat has a heartbeat answered by the agent.
func (s *system) heartbeat() error {
	return post(s.Settings(1).AnnounceAddr, heartbeatPath, ordinaryHeartbeat)
}

// peerCall has a call of another entry answered.
func (s *system) peerCall() error {
	conn, err := net.DialTimeout("tcp", s.Settings(0).PeerAddr, tryTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(tryTimeout))
	if _, err := io.WriteString(conn, entryd.RPCPreface); err != nil {
		return err
	}
	var reply entryd.ConfigReply
	return rpc.NewClient(conn).Call("Peer.Config", &struct{}{}, &reply)
}

// ready has the load balancer's check answered.
func (s *system) ready() error { return post(s.Settings(0).ReadyAddr, "/", "") }

// usage is what a process has used at most.
type usage struct {
	residentKB   int64 // VmHWM
	withUnreadKB int64 // resident memory at one time and the bytes that waited in its sockets
	fds          int
}

// watch samples the usage of a process until stop is called.
func watch(t *testing.T, p *harness.Process, addr string) (stop func() usage) {
	var u usage
	var wg sync.WaitGroup
	done := make(chan struct{})
	sample := func() {
		resident, peak := memory(p.Pid())
		u.residentKB = max(u.residentKB, peak)
		u.withUnreadKB = max(u.withUnreadKB, resident+unreadBytes(addr)/1024)
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid())); err == nil {
			u.fds = max(u.fds, len(entries))
		}
	}
	wg.Go(func() {
		for {
			sample()
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	var once sync.Once
	stop = func() usage {
		once.Do(func() { close(done) })
		wg.Wait()
		sample()
		return u
	}
	t.Cleanup(func() { stop() })
	return stop
}

// memory returns the resident memory of a process and its peak in KB, 0 if it has exited.
func memory(pid int) (resident, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(fields[1], 10, 64) // 0 for lines that hold no number
		switch fields[0] {
		case "VmRSS:":
			resident = n
		case "VmHWM:":
			peak = n
		}
	}
	return resident, peak
}

// unreadBytes returns how many bytes have arrived at the sockets of a listening address and
// were not read by the process.
func unreadBytes(addr string) (sum int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return 0
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return 0
	}
	ip := net.ParseIP(host).To4()
	local := fmt.Appendf(nil, "%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line) // sl, local, remote, state, tx:rx, ...
		if len(fields) < 5 || !bytes.Equal(fields[1], local) || string(fields[3]) == stateListen {
			continue
		}
		_, rx, _ := strings.Cut(string(fields[4]), ":")
		n, _ := strconv.ParseInt(rx, 16, 64) // the kernel writes eight hexadecimal digits
		sum += n
	}
	return sum
}

// stateListen is the state of a listening socket in /proc/net/tcp, whose queue counts
// connections.
const stateListen = "0A"
