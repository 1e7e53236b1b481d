package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

const maxViolationsShown = 10

// WriteTable prints the runs side by side. Columns named "x ref" are relative to
// the reference scheme, or to the first run if there is none. Quote these if other
// load on the machine may have affected the measurement.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d  load %.2f  duration %s  slots %d\n", r.Seed, r.Load, r.Shape.Duration, r.Shape.Slots)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scheme\tjobs\tcomplete\tfailed\trefused\tunknown\tp50\tp99\tmean\tp50 x ref\tp99 x ref\tmean x ref\twasted/task\twithin\tgoodput\tbroken promises\t")
	ref := r.find(ReferenceSchemeName)
	if ref == nil && len(r.Results) > 0 {
		ref = r.Results[0]
	}
	for _, res := range r.Results {
		all, refAll := res.All, ref.All
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%s\t%.3f\t%.3f\t%d\t\n",
			res.Name, all.Jobs, all.Complete, all.Failed, all.Refused, all.Unknown+all.Broken,
			all.Ratio.P50, all.Ratio.P99, all.Ratio.Mean,
			quotient(all.Ratio.P50, refAll.Ratio.P50), quotient(all.Ratio.P99, refAll.Ratio.P99), quotient(all.Ratio.Mean, refAll.Ratio.Mean),
			res.Wasted, all.WithinTarget, all.Goodput, len(res.Violations))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeClasses(w)
}

// String returns the wasted messages per task, or a dash if the counters could
// not be read.
func (w *Wasted) String() string {
	if w == nil {
		return "-"
	}
	return fmt.Sprintf("%.4f", w.PerTask)
}

// quotient returns a/b, or 0 if b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (r Report) writeClasses(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nscheme\tclass\tjobs\tcomplete\tp50\tp99\tmean\tp99 ms\twithin\tgoodput\t")
	for _, res := range r.Results {
		for _, c := range res.Classes {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t\n", res.Name, c.Class, c.Jobs, c.Complete,
				c.Ratio.P50, c.Ratio.P99, c.Ratio.Mean, c.ResponseMS.P99, c.WithinTarget, c.Goodput)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.writeMessages(w)
	return nil
}

func (r Report) writeMessages(w io.Writer) {
	fmt.Fprintln(w)
	for _, res := range r.Results {
		if r.Faults.Bad > 0 {
			bad := fmt.Sprintf(upstreamNameFormat, r.Faults.Slow)
			fmt.Fprintf(w, "%s: %d starts at %s, which fails every task\n", res.Name, res.StartsByUpstream[bad], bad)
		}
		if m := res.Wasted; m != nil {
			fmt.Fprintf(w, "%s: refused sends %d %v, cancels %d, queries %d, late results %d, duplicates %d, heartbeats %d; send delay p99 %.2f ms\n",
				res.Name, m.RefusedSends, m.Reasons, m.Cancels, m.Queries, m.LateResults, m.Duplicates, res.Heartbeats, res.SendDelayMS.P99)
		}
		if c := res.ControlBytes; c != nil {
			fmt.Fprintf(w, "%s: bytes to agents %d, to entries %d, of these payload %d; control %.0f B/s for each agent\n",
				res.Name, c.ToAgents, c.ToEntries, c.Payload, c.PerAgentSecond)
		}
		for i, v := range res.Violations {
			if i == maxViolationsShown {
				fmt.Fprintf(w, "%s: and %d more\n", res.Name, len(res.Violations)-i)
				break
			}
			fmt.Fprintf(w, "%s: BROKEN %s\n", res.Name, v)
		}
	}
}

// WriteJSON writes the report to the file at path.
func (r Report) WriteJSON(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
