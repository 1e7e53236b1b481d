package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/internal/capacity"
)

type capacityArgs struct {
	Only   []string      `arg:"--only,separate" help:"run only this experiment; may be repeated"`
	Repeat int           `default:"3" help:"measurements of each size"`
	Window time.Duration `default:"3s" help:"how long links at rest are observed"`
	JSON   bool          `arg:"--json" help:"print JSON instead of a table"`
	List   bool          `help:"print the names of the experiments"`
}

// example returns the command line that the help text shows.
func (*capacityArgs) example() string { return "limpettrail capacity --only entry-links" }

func (a *capacityArgs) run(stdout, stderr io.Writer) int {
	if a.List {
		fmt.Fprintln(stdout, strings.Join(capacity.Names(), "\n"))
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := capacity.Run(ctx, capacity.Options{Only: a.Only, Repeat: a.Repeat, Window: a.Window, Progress: stderr})
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitFailed
	}
	if !a.JSON {
		r.WriteTable(stdout)
		return ExitOK
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitFailed
	}
	return ExitOK
}
