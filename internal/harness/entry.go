package harness

import (
	"encoding/json"
	"net/http"
	"regexp"
	"time"
)

const (
	statusPeriod  = 10 * time.Millisecond
	statusTimeout = 2 * time.Second
)

// entryLine is what the entry prints when it listens.
var entryLine = regexp.MustCompile(`^entry \S+: callers (\S+), peers (\S+), operators (\S+)$`)

func parseEntryLine(line []byte) (Event, bool) {
	m := entryLine.FindSubmatch(line)
	if m == nil {
		return Event{}, false
	}
	return Event{Kind: Ready, Addr: string(m[1]), Peer: string(m[2]), Operator: string(m[3])}, true
}

// entryStatus is the part of GET /status that is watched.
type entryStatus struct {
	Ready bool     `json:"ready"`
	Jobs  int      `json:"jobs"`
	Links []string `json:"agents"`
}

// watchStatus adds an event for each change of an entry's status until the
// process ends. A frozen entry does not answer and so changes nothing.
func watchStatus(p *Process, operator string) {
	client := &http.Client{Timeout: statusTimeout}
	defer client.CloseIdleConnections()
	var last entryStatus
	for {
		select {
		case <-p.done:
			return
		case <-time.After(statusPeriod):
		}
		var now entryStatus
		if readStatus(client, operator, &now) != nil {
			continue
		}
		p.addChanges(last, now)
		last = now
	}
}

func (p *Process) addChanges(last, now entryStatus) {
	if len(now.Links) != len(last.Links) {
		p.add(Event{Kind: Links, Count: len(now.Links)})
	}
	if now.Jobs != last.Jobs {
		p.add(Event{Kind: Jobs, Count: now.Jobs})
	}
	if now.Ready && !last.Ready {
		p.add(Event{Kind: Serving})
	}
}

func readStatus(client *http.Client, operator string, into *entryStatus) error {
	resp, err := client.Get("http://" + operator + "/status")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
