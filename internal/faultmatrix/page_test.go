package faultmatrix

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	repositoryRoot = "../.."
	pagePath       = repositoryRoot + "/docs/fault-matrix.md"
	beginMarker    = "<!-- generated: cells -->\n"
	endMarker      = "<!-- end of generated part -->\n"
)

var writePage = flag.Bool("writepage", false, "write the generated part of docs/fault-matrix.md")

// processTests lists, by fault, the tests that also cover it with real sockets or
// real processes, as package.Test.
var processTests = map[string][]string{
	"entry-killed":         {"internal/faultmatrix.TestEntryKilledBetweenClaimAndStart", "internal/faultmatrix.TestConfigurationWhileAThirdRestarts", "internal/harness.TestEntryKilledWhileTasksRun", "internal/entryd.TestKilledEntryBreaksTheConnection", "internal/logstate.TestKeyOfDeadEntryNeverRunsAgain"},
	"agent-killed":         {"internal/faultmatrix.TestConfigurationWhileAThirdRestarts", "internal/harness.TestAgentKilledWhileTasksRun"},
	"upstream-killed":      {"internal/harness.TestUpstreamKilledWhileTasksRun", "internal/agentd.TestUnreachableUpstreamIsNotRunAndRecovers"},
	"log-killed":           {"internal/faultmatrix.TestLogOutageInTheMiddle", "internal/logstate.TestClaimEndsWhenLogStopsResponding", "internal/logstate.TestLogOutageRefusesClaimsAndRecovers"},
	"agent-frozen":         {"internal/harness.TestAgentFrozenAndThawed", "core/agent.TestPauseAtEachStep"},
	"agent-lease-lapsed":   {"internal/harness.TestAgentFrozenAndThawed"},
	"link-silent-to-entry": {"internal/harness.TestLinkSilentInOneDirection"},
	"link-silent-to-agent": {"internal/harness.TestLinkSilentInOneDirection"},
	"link-silent-both":     {"internal/agentd.TestSilentLinkIsReplacedWithoutSecondStart"},
	"reply-lost":           {"internal/logstate.TestClaimSurvivesLostAppendReplyOrRequest", "internal/operator.TestLostReplyIsAcceptedAfterReadBack"},
	"log-out-of-retention": {"internal/logstate.TestNewEntryStartsFromSnapshotAfterExpiry", "internal/logstate.TestReaderThatMissedRecordsRefusesTheirKeys"},
	"operators-race":       {"internal/operator.TestOneOfConcurrentChangesIsAccepted", "internal/operator.TestConfigHistoriesAreLinearizable"},
	"job-impossible":       {"core/policy.TestAdmissionRefusals"},
	"cancel-wave":          {"internal/entryd.TestDeleteCancelsQueuedTasks"},
	"straggler":            {"core/policy.TestStragglerGetsFewTasks"},
	"upstream-fails-all":   {"core/policy.TestWorkerThatFailsEverythingGetsFewTasks"},
	"entry-stopped":        {"internal/harness.TestPlannedStopOfAnEntryUnderLoad", "internal/entryd.TestStopFinishesJobsAndRefusesNewOnes"},
	"agent-stopped":        {"internal/harness.TestPlannedStopOfAnAgentUnderLoad", "internal/agentd.TestStopReturnsQueuedTasksAndDeliversResults"},
	"log-stopped":          {"internal/faultmatrix.TestLogOutageInTheMiddle"},
	"all-restarted":        {"internal/faultmatrix.TestEverythingRestartedAtOnce", "internal/faultmatrix.TestEverythingRestartedInAnOutage"},
}

// TestPageMatchesTheCells guards against a page whose cells, seeds or tests
// differ from those that run.
func TestPageMatchesTheCells(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	head, rest, ok := strings.Cut(string(data), beginMarker)
	assert.Assert(t, ok, "%s lacks the line %q", pagePath, beginMarker)
	part, tail, ok := strings.Cut(rest, endMarker)
	assert.Assert(t, ok, "%s lacks the line %q", pagePath, endMarker)
	want := generatedPart()
	if *writePage {
		assert.NilError(t, os.WriteFile(pagePath, []byte(head+beginMarker+want+endMarker+tail), 0o644))
		return
	}
	assert.Equal(t, part, want, "run: go test ./internal/faultmatrix -run TestPageMatchesTheCells -writepage")
}

// TestNamedTestsExist guards against a page that lists a test that was renamed or
// removed.
func TestNamedTestsExist(t *testing.T) {
	for fault, names := range processTests {
		assert.Assert(t, faultByName(fault) != nil, "processTests lists the unknown fault %s", fault)
		for _, name := range names {
			dir, test, _ := strings.Cut(name, ".")
			assert.Assert(t, testsIn(t, filepath.Join(repositoryRoot, dir))[test], "processTests lists %s, which does not exist", name)
		}
	}
}

func faultByName(name string) *fault {
	for _, f := range allFaults {
		if f.name == name {
			return f
		}
	}
	return nil
}

// testsIn returns the names of the functions in the test files of a directory.
func testsIn(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	assert.NilError(t, err)
	found := make(map[string]bool)
	for _, path := range files {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Recv == nil {
				found[fn.Name.Name] = true
			}
		}
	}
	return found
}

func generatedPart() string {
	var b strings.Builder
	for _, f := range allFaults {
		fmt.Fprintf(&b, "\n### %s\n\n", f.name)
		if f.harmless {
			b.WriteString("Alone, it must cost no accepted job.")
		}
		if names := processTests[f.name]; len(names) > 0 {
			fmt.Fprintf(&b, " Also outside this package: %s.", strings.Join(names, ", "))
		}
		promises := strings.ReplaceAll(f.promises, " ", ", ")
		b.WriteString("\n\n| step | most threatened | test | seed |\n|---|---|---|---|\n")
		for _, s := range allSteps {
			c := cell{f, s}
			if c.possible() {
				fmt.Fprintf(&b, "| %s | %s | TestMatrix/%s | %d |\n", s, promises, c.name(), c.seed())
			} else {
				fmt.Fprintf(&b, "| %s | | cannot occur: %s | |\n", s, f.onlyAtReason)
			}
		}
	}
	b.WriteByte('\n')
	return b.String()
}
