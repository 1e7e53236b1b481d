package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/limpettrail/limpettrail/internal/settings"
)

type checkArgs struct {
	Role string   `arg:"required,--role" help:"entry or agent"`
	Set  []string `arg:"--set,separate" help:"override one setting: key=value"`
	File string   `arg:"positional,required" help:"settings file"`
	Keys bool     `arg:"--keys" help:"list every key with its default and what is allowed"`
}

// example returns the command line that the help text shows.
func (*checkArgs) example() string {
	return "limpettrail check --role entry deploy/entry.toml"
}

func (a *checkArgs) run(stdout, stderr io.Writer) int {
	role := settings.Role(a.Role)
	if role != settings.RoleEntry && role != settings.RoleAgent {
		fmt.Fprintf(stderr, "error: --role %q: want entry or agent\n", a.Role)
		return ExitUsage
	}
	if a.Keys {
		listKeys(stdout, role)
	}
	v, err := settings.Load(role, a.File, os.Environ(), a.Set)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	for _, w := range v.Warnings() {
		fmt.Fprintf(stdout, "warning: %s\n", w)
	}
	fmt.Fprintf(stdout, "%s: ok\n", a.File)
	return ExitOK
}

func listKeys(w io.Writer, role settings.Role) {
	for _, k := range settings.Keys(role) {
		value := "default " + k.Default
		if k.Required {
			value = "required"
		} else if k.Default == "" {
			value = "unset by default"
		}
		fmt.Fprintf(w, "%s (%s): %s; allowed: %s\n", k.Name, value, k.Help, k.Allowed())
	}
}
