package cli

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/limpettrail/limpettrail/core/wire"
)

type versionArgs struct{}

func (*versionArgs) run(stdout, _ io.Writer) int {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintf(stdout, "limpettrail %s, peer protocol %d, %s\n", version, wire.ProtocolVersion, runtime.Version())
	return ExitOK
}
