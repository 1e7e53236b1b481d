package cli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a summary without jobs, and against an exit code that hides a
// violation.
func TestDevRunsJobsAndReportsViolations(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := Main([]string{"dev", "--jobs", "10", "--seed", "2"}, &stdout, &stderr)
	assert.Equal(t, code, ExitOK, stderr.String())
	for _, want := range []string{"jobs: 10 complete", "violations: 0", "response time over ideal", "per task"} {
		assert.Assert(t, strings.Contains(stdout.String(), want), "no %q in\n%s", want, stdout.String())
	}
}

// Guards against a misspelled scenario name that runs something else.
func TestUnknownLoadScenarioListsKnownScenarios(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := Main([]string{"load", "--scenario", "none"}, &stdout, &stderr)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stderr.String(), "overload"), stderr.String())
}
