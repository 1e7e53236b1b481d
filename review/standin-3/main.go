// Command standin-3 plays the platform of the users' pages for the cases of the third review:
// its store, its workers, its operator and its clients. It starts the programs with the
// commands of the deploy file, each as a process of its own, and judges what clients, workers
// and the store have seen.
//
// Usage: standin-3 CASE FOLDER. It writes record.txt to the folder. The exit code is 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict []string

// testCase is one case. trouble is false if it runs without the disruption.
type testCase struct {
	options options
	config  func(version int) map[string]any
	run     func(s *system, trouble bool) (verdict, error)
}

// cases holds the cases of the review, and scenarios that its report names.
var cases = map[string]testCase{
	"lease":      {options{entries: 6, spare: 1, workers: 4, zones: threeZones}, oneRoute, quietLease},
	"timed-jobs": {options{entries: 3, workers: 4, zones: threeZones}, oneRoute, timedJobs},
	"large":      {options{entries: 3, workers: 4, zones: threeZones}, oneRoute, largeBeside},
	"gang":       {options{entries: 3, workers: 4, zones: threeZones}, oneRoute, gangBeside},
	"alone":      {options{entries: 3, workers: 11, zones: threeZones}, oneRoute, twiceCrashed},

	"ended":   {options{entries: 3, workers: 4, zones: threeZones}, oneRoute, endedStates},
	"renamed": {options{entries: 3, workers: 4, zones: threeZones}, oneRoute, renamedQueue},
	"pending": {options{entries: 3, workers: 11, zones: threeZones}, oneRoute, pendingJobs},
}

var threeZones = []string{"colombo-fort", "negombo", "kalutara"}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitNotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin-3: no case %q\n", os.Args[1])
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	defer file.Close()
	rec := &recorder{out: bufio.NewWriter(file), began: time.Now()}
	defer rec.flush()
	s, err := startSystem(rec, c.options, c.config)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	broken, err := c.run(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	for _, line := range broken {
		rec.printf("broken: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("held")
	return exitHeld
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // the record is short then, which shows
}

const routePrefix = "/lohu930/"

// oneRoute returns a configuration with one queue.
func oneRoute(version int) map[string]any {
	return configWith(version, route("r1", routePrefix))
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
		"priority": 0, "service": serviceName, "maxAttempts": 4, "slackFactor": 1.6,
	}
}

func configWith(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, "preconditions": true}},
		"limits": map[string]any{"maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}
