// Package timelineview fetches the timelines of processes and renders the merged
// timeline as a table, as JSON or as a self-contained SVG image.
package timelineview

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/limpettrail/limpettrail/core/timeline"
)

const (
	fetchTimeout  = 5 * time.Second
	maxReplyBytes = 64 << 20
)

// Query selects events. Empty fields match every event.
type Query struct {
	Submission string
	Peer       string
}

func (q Query) matches(e *timeline.Event) bool {
	return (q.Submission == "" || e.Submission == q.Submission) && (q.Peer == "" || e.Peer == q.Peer)
}

// Read returns the events of one source that match the query. The source is an
// operator address (IP:port or a URL) or a file with a saved reply of /timeline.
func Read(ctx context.Context, client *http.Client, source string, q Query) ([]timeline.Event, error) {
	if f, err := os.Open(source); err == nil {
		defer f.Close()
		return decode(f, q)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := source
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	values := url.Values{"submission": {q.Submission}, "peer": {q.Peer}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/timeline?"+values.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %s", source, resp.Status)
	}
	return decode(resp.Body, q)
}

func decode(r io.Reader, q Query) ([]timeline.Event, error) {
	var all []timeline.Event
	if err := json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(&all); err != nil {
		return nil, err
	}
	kept := all[:0]
	for i := range all {
		if q.matches(&all[i]) {
			kept = append(kept, all[i])
		}
	}
	return kept, nil
}

// Table writes the events in aligned columns: time since the first event, gap,
// process, event, task, peer and detail.
func Table(w io.Writer, events []timeline.MergedEvent) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AT\tGAP\tPROCESS\tEVENT\tTASK\tPEER\tDETAIL")
	for _, e := range events {
		fmt.Fprintf(t, "%s\t+%s\t%s\t%d %s\t%s\t%s\t%s\n",
			sinceFirst(events, e), e.Gap, e.Process, e.Code, e.Name, taskText(e), e.Peer, e.Detail)
	}
	return t.Flush()
}

// sinceFirst returns the time between the first event and e.
func sinceFirst(events []timeline.MergedEvent, e timeline.MergedEvent) time.Duration {
	return time.Duration(e.Stamp.Micros()-events[0].Stamp.Micros()) * time.Microsecond
}

func taskText(e timeline.MergedEvent) string {
	if e.Task < 0 {
		return "-"
	}
	return fmt.Sprint(e.Task)
}

// JSON writes the events as an indented array.
func JSON(w io.Writer, events []timeline.MergedEvent) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(events)
}
