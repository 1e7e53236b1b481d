package cli

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a mistyped mode that is taken for off, and against a setting of the
// agent that has no effect.
func TestInterferenceIsCheckedBeforeTheStart(t *testing.T) {
	for _, c := range []struct{ role, mode, want string }{
		{roleEntry, "on", `interference "on": want off, observe or separate`},
		{roleAgent, "observe", "--interference is an option of the entry"},
	} {
		var stderr bytes.Buffer
		a := nodeArgs{LogLevel: "info", Role: c.role, Interference: c.mode}
		assert.Equal(t, a.run(io.Discard, &stderr), ExitUsage)
		assert.Assert(t, strings.Contains(stderr.String(), c.want), stderr.String())
	}
}
