package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/internal/timelineview"
)

type timelineArgs struct {
	Job    string   `help:"submission whose events are shown"`
	Peer   string   `help:"peer (an agent's or entry's name) whose events are shown"`
	Format string   `default:"table" help:"table, json or svg"`
	Source []string `arg:"positional,required" help:"operators' addresses (IP:port, or https://IP:port) or files saved from /timeline"`
	tlsArgs
}

// tlsArgs are the TLS flags of commands that connect to operator addresses.
type tlsArgs struct {
	Cert string `arg:"--cert" help:"operator's certificate (PEM)"`
	Key  string `arg:"--key" help:"key of the operator's certificate (PEM)"`
	CA   string `arg:"--ca" help:"authorities of the servers' certificates (PEM)"`
}

// example returns the command line that the help text shows.
func (*timelineArgs) example() string {
	return "limpettrail timeline --job 4f...e1 127.0.0.1:9100 127.0.0.1:9200"
}

func (a *timelineArgs) run(stdout, stderr io.Writer) int {
	client, err := a.httpClient()
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitFailed
	}
	events, unreachable := a.readSources(client, stderr)
	if err := a.render(stdout, events); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	if unreachable == len(a.Source) {
		return ExitFailed
	}
	return ExitOK
}

// readSources merges the events of all sources that can be read. It also returns
// the number of the other sources, which it skips: an unreachable process must not hide the
// events of the others.
func (a *timelineArgs) readSources(client *http.Client, stderr io.Writer) ([]timeline.MergedEvent, int) {
	var lists [][]timeline.Event
	unreachable := 0
	query := timelineview.Query{Submission: a.Job, Peer: a.Peer}
	for _, source := range a.Source {
		address := source
		if _, err := os.Stat(source); err != nil {
			address = a.withScheme(source)
		}
		events, err := timelineview.Read(context.Background(), client, address, query)
		if err != nil {
			fmt.Fprintf(stderr, "warning: %s omitted: %v\n", source, err)
			unreachable++
			continue
		}
		lists = append(lists, events)
	}
	return timeline.Merge(lists...), unreachable
}

func (a *timelineArgs) render(w io.Writer, events []timeline.MergedEvent) error {
	switch a.Format {
	case "table":
		return timelineview.Table(w, events)
	case "json":
		return timelineview.JSON(w, events)
	case "svg":
		return timelineview.SVG(w, events)
	}
	return fmt.Errorf("--format %q: want table, json or svg", a.Format)
}
