package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

const maxViolationsShown = 10

// WriteTable prints the runs side by side. Ratio columns named "x ref" divide
// by the reference's value; they are the figures to quote from a noisy machine.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d  load %.2f  duration %s  slots %d\n", r.Seed, r.Load, r.Shape.Duration, r.Shape.Slots)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scheme\tjobs\tcomplete\tfailed\trefused\tunknown\tp50\tp99\tmean\tp50 x ref\tp99 x ref\tmean x ref\twasted/task\twithin\tgoodput\tbroken promises\t")
	ref := r.find(ReferenceName)
	if ref == nil && len(r.Results) > 0 {
		ref = r.Results[0]
	}
	for _, res := range r.Results {
		a, b := res.All, ref.All
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%s\t%.3f\t%.3f\t%d\t\n",
			res.Name, a.Jobs, a.Complete, a.Failed, a.Refused, a.Unknown+a.Broken,
			a.Ratio.P50, a.Ratio.P99, a.Ratio.Mean,
			over(a.Ratio.P50, b.Ratio.P50), over(a.Ratio.P99, b.Ratio.P99), over(a.Ratio.Mean, b.Ratio.Mean),
			res.Wasted, a.WithinTarget, a.Goodput, len(res.Violations))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeClasses(w)
}

// String returns the sum per task, or a dash if the counters are not known.
func (w *Wasted) String() string {
	if w == nil {
		return "-"
	}
	return fmt.Sprintf("%.4f", w.PerTask)
}

func over(a, b float64) float64 {
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
			bad := fmt.Sprintf(upstreamName, r.Faults.Slow)
			fmt.Fprintf(w, "%s: %d starts at %s, which fails everything\n", res.Name, res.StartsBy[bad], bad)
		}
		if m := res.Wasted; m != nil {
			fmt.Fprintf(w, "%s: refused sends %d %v, cancels %d, queries %d, late results %d, duplicates %d, heartbeats %d; sends late by p99 %.2f ms\n",
				res.Name, m.RefusedSends, m.Reasons, m.Cancels, m.Queries, m.LateResults, m.Duplicates, res.Heartbeats, res.SendLateMS.P99)
		}
		if c := res.ControlByte; c != nil {
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
