package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/internal/dev"
)

const stopTimeout = 10 * time.Second

type devArgs struct {
	Entries int `default:"3" help:"number of entries"`
	Agents  int `default:"11" help:"number of agents"`
}

func (a *devArgs) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := dev.Start(dev.Options{Entries: a.Entries, Agents: a.Agents})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	addr := s.Entries[0].Addr()
	fmt.Fprintf(stdout, "callers: http://%s\n", addr)
	fmt.Fprintf(stdout, "try: curl -s http://%s/v1/jobs -d '{\"class\":\"quote\",\"tasks\":[{\"sleep_us\":50000},{\"sleep_us\":80000}]}'\n", addr)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.Stop(stopCtx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
