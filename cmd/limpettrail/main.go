// Command limpettrail dispatches sub-second tasks from callers to upstreams.
package main

import (
	"os"

	"github.com/limpettrail/limpettrail/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
