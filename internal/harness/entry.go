package harness

import (
	"encoding/json"
	"net/http"
	"regexp"
	"time"
)

const (
	statusPollInterval = 10 * time.Millisecond
	statusTimeout      = 2 * time.Second
)

// entryReadyLine matches the line that an entry prints once it listens.
var entryReadyLine = regexp.MustCompile(`^entry \S+: callers (\S+), peers (\S+), operators (\S+)$`)

// parseEntryLine returns the Ready event for the line that an entry prints once it
// listens.
func parseEntryLine(line []byte) (Event, bool) {
	m := entryReadyLine.FindSubmatch(line)
	if m == nil {
		return Event{}, false
	}
	return Event{Kind: Ready, Addr: string(m[1]), Peer: string(m[2]), Operator: string(m[3])}, true
}

// entryStatus is the part of the GET /status reply that watchStatus uses.
type entryStatus struct {
	Ready  bool     `json:"ready"`
	Jobs   int      `json:"jobs"`
	Agents []string `json:"agents"`
}

// watchStatus polls an entry's status and adds an event for each change until
// the process exits. A frozen entry does not answer, so it produces no events.
func watchStatus(p *Process, operator string) {
	client := &http.Client{Timeout: statusTimeout}
	defer client.CloseIdleConnections()
	var previous entryStatus
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(statusPollInterval):
		}
		var current entryStatus
		if readStatus(client, operator, &current) != nil {
			continue
		}
		p.addStatusChanges(previous, current)
		previous = current
	}
}

// addStatusChanges adds an event for each difference between two statuses.
func (p *Process) addStatusChanges(previous, current entryStatus) {
	if len(current.Agents) != len(previous.Agents) {
		p.addEvent(Event{Kind: Links, Count: len(current.Agents)})
	}
	if current.Jobs != previous.Jobs {
		p.addEvent(Event{Kind: Jobs, Count: current.Jobs})
	}
	if current.Ready && !previous.Ready {
		p.addEvent(Event{Kind: Serving})
	}
}

func readStatus(client *http.Client, operator string, status *entryStatus) error {
	resp, err := client.Get("http://" + operator + "/status")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(status)
}
