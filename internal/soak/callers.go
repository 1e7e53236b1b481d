package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

// CallersConfig configures RunCallers.
type CallersConfig struct {
	Site *Site
	Seed uint64
	// Addrs are the addresses of the entries for callers. At first, those of the spare
	// entries are not in use.
	Addrs []string
}

// CallersControl is a command to callers.
type CallersControl struct {
	// Entry with Down set gets no new requests from now on.
	Entry int  `json:"entry"`
	Down  bool `json:"down"`
	// Load, if positive, replaces the factor of the load.
	Load float64 `json:"load,omitempty"`
	// LeaveShare, if not nil, replaces the share of the site file.
	LeaveShare *float64 `json:"leaveShare,omitempty"`
}

// Call is one request of a caller, as RunCallers records it. Its times count from the boot
// of the machine.
type Call struct {
	Job    string        `json:"job"`
	Class  string        `json:"class"`
	Tasks  int           `json:"tasks"`
	Try    int           `json:"try"`
	Entry  int           `json:"entry"`
	SentAt time.Duration `json:"sentAt"`
	EndAt  time.Duration `json:"endAt"`
	Left   bool          `json:"left,omitempty"` // the caller broke the connection early
	Status int           `json:"status"`         // 0 if there was no complete answer
	State  string        `json:"state,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// callers are the callers of a site.
type callers struct {
	cfg    CallersConfig
	record func(Call)

	mu         sync.Mutex
	rand       *rand.Rand
	inUse      []bool // by entry
	load       float64
	leaveShare float64
	ids        uint64
	wg         sync.WaitGroup
}

// RunCallers submits jobs as the callers of a site until ctx is done or control ends, and then until
// the last job has ended. It reads commands from control and writes each request to record.
func RunCallers(ctx context.Context, cfg CallersConfig, control io.Reader, record func(Call)) {
	c := &callers{
		cfg: cfg, record: record, rand: rand.New(rand.NewPCG(cfg.Seed, 3)), inUse: make([]bool, len(cfg.Addrs)),
		load: 1, leaveShare: cfg.Site.Callers.LeaveShare, ids: cfg.Seed << 32,
	}
	for i := range cfg.Site.entries() {
		c.inUse[i] = true
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel() // the process that sends the commands has exited
		c.readCommands(control)
	}()
	start := time.Now()
	for zone := range cfg.Site.Zones {
		c.wg.Go(func() { c.runZone(ctx, zone, start) })
	}
	c.wg.Wait()
}

func (c *callers) readCommands(control io.Reader) {
	lines := bufio.NewScanner(control)
	for lines.Scan() {
		var cmd CallersControl
		if json.Unmarshal(lines.Bytes(), &cmd) != nil {
			continue
		}
		c.mu.Lock()
		switch {
		case cmd.Load > 0:
			c.load = cmd.Load
		case cmd.LeaveShare != nil:
			c.leaveShare = *cmd.LeaveShare
		default:
			c.inUse[cmd.Entry] = !cmd.Down
		}
		c.mu.Unlock()
	}
}

// runZone submits the jobs of a zone. Each caller keeps connections of its own.
func (c *callers) runZone(ctx context.Context, zone int, start time.Time) {
	clients := make([]*http.Client, c.cfg.Site.Zones[zone].Callers)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	for ctx.Err() == nil {
		c.mu.Lock()
		rate := c.load * c.rate(zone, time.Since(start))
		pause := time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
		caller := c.rand.IntN(len(clients))
		j := c.newJob()
		c.mu.Unlock()
		ctxsleep.For(ctx, pause)
		c.wg.Go(func() { c.submit(clients[caller], zone, caller, j) })
	}
}

// rate returns the jobs per second of a zone.
func (c *callers) rate(zone int, elapsed time.Duration) float64 {
	s := c.cfg.Site
	wave := 2 * math.Pi * (float64(elapsed.Milliseconds())/float64(s.Callers.WaveMs) + float64(zone)/float64(len(s.Zones)))
	return s.Zones[zone].JobsPerSecond * (1 + s.Callers.WaveShare*math.Sin(wave))
}

// job is a job of a caller.
type job struct {
	id       string
	class    *Class
	tasks    int
	body     []byte
	leaves   time.Duration // when the caller breaks the first connection, 0 for not early
	nextHops [8]uint64     // draws that choose the entries of later tries
}

// newJob draws a job. The caller holds the lock.
func (c *callers) newJob() *job {
	class := c.drawClass()
	c.ids++
	j := &job{id: fmt.Sprintf("%016x", c.ids), class: class, tasks: max(1, int(math.Round(class.Tasks.draw(c.rand))))}
	cpu := int(class.CPU.draw(c.rand))
	estimate := class.RunMs.Mean * math.Exp(class.EstimateSpread*c.rand.NormFloat64())
	if c.rand.Float64() < c.leaveShare {
		j.leaves = 1 + time.Duration(c.rand.Int64N(class.DeadlineMs))*time.Millisecond
	}
	for i := range j.nextHops {
		j.nextHops[i] = c.rand.Uint64()
	}
	var err error
	j.body, err = json.Marshal(map[string]any{
		"spec": class.spec(cpu), "bestEffort": true,
		"phases": []map[string]any{{"count": j.tasks, "cpu": cpu, "memMb": 64, "estimatedMs": max(1, int(estimate))}},
	})
	if err != nil {
		panic("soak: " + err.Error()) // cannot fail: all values can be encoded
	}
	return j
}

func (c *callers) drawClass() *Class {
	classes := c.cfg.Site.Classes
	sum := 0.0
	for _, class := range classes {
		sum += class.Weight
	}
	x := c.rand.Float64() * sum
	for i := range classes {
		if x -= classes[i].Weight; x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// submit sends a job until an answer tells its outcome or the tries are used up.
func (c *callers) submit(client *http.Client, zone, caller int, j *job) {
	previous := -1
	for try := 1; try <= c.cfg.Site.Callers.Tries; try++ {
		entry := c.chooseEntry(zone, caller, try, j, previous)
		previous = entry
		call := c.send(client, entry, try, j)
		c.record(call)
		switch call.Status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			return
		}
		time.Sleep(time.Duration(c.cfg.Site.Callers.ResendMs) * time.Millisecond)
	}
}

// chooseEntry returns the entry of a request. The first requests of a caller go to the
// same entry of its zone while it is in use, later ones to any other entry than the
// previous one.
func (c *callers) chooseEntry(zone, caller, try int, j *job, previous int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, all []int
	for entry, inUse := range c.inUse {
		if !inUse || entry == previous {
			continue
		}
		all = append(all, entry)
		if entry%len(c.cfg.Site.Zones) == zone {
			near = append(near, entry)
		}
	}
	switch {
	case len(all) == 0:
		return 0
	case try > 1 || len(near) == 0:
		return all[j.nextHops[try%len(j.nextHops)]%uint64(len(all))]
	}
	return near[caller%len(near)]
}

// send sends a job to an entry once.
func (c *callers) send(client *http.Client, entry, try int, j *job) Call {
	timeout := time.Duration(j.class.DeadlineMs) * time.Millisecond
	call := Call{Job: j.id, Class: j.class.Name, Tasks: j.tasks, Try: try, Entry: entry, SentAt: bootclock.SinceBoot()}
	stay := timeout
	if try == 1 && j.leaves > 0 {
		stay, call.Left = min(stay, j.leaves), true
	}
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Addrs[entry]+j.class.prefix()+j.id, bytes.NewReader(j.body))
	if err == nil {
		req.Host = emulator.Host
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
		call.Status, call.State, call.Reason, err = readAnswer(client.Do(req))
	}
	if err != nil {
		call.Reason = err.Error()
	}
	call.EndAt = bootclock.SinceBoot()
	return call
}

// readAnswer reads the whole answer to a job. The status is 0 if it is not complete.
func readAnswer(resp *http.Response, err error) (status int, state, reason string, _ error) {
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", "", err
	}
	var body struct {
		State string `json:"state"`
		Error string `json:"error"`
	}
	// An answer without a state has a status that tells the outcome.
	_ = json.Unmarshal(data, &body)
	return resp.StatusCode, body.State, body.Error, nil
}
