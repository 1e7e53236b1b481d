package entryd_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/entryd"
)

// Guards against a job that is charged until its answer with what its decoding could have
// taken at most, so that far fewer jobs run than fit.
func TestDecodedJobIsChargedWithWhatItTakes(t *testing.T) {
	const most = 64 << 10 // of a connection and a request of 1 KB
	e := startEntry(t, entryd.Options{})
	run, unblock := blockedRun()
	t.Cleanup(unblock)
	a := startAgent(t, e, 1, run)
	done := make(chan error, 1)
	go func() {
		_, err := tryRequest("POST", jobsURL(e), `{"class":"c","tasks":["`+strings.Repeat("{", 570)+`"]}`)
		done <- err
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	got := e.CallerBytes()
	unblock()
	assert.NilError(t, <-done)
	assert.Assert(t, got <= most, "a job of 1 KB is charged with %d bytes", got)
}
