// Command standin-2 plays one case of the second review: it starts entries and agents with
// the commands of the deploy file, on loopback addresses and the real clock, beside
// stand-ins of the platform's store, its executors and its clients, and checks one rule by
// what these have seen.
//
// Usage: standin-2 CASE RECORD. The disruption is left out if TROUBLE is 0. The exit status
// is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(s *system) (bool, error){
	"window":  playWindow,
	"suspect": playSuspect,
	"refused": playRefused,
	"shrunk":  playShrunk,
	"limited": playLimited,
	// The following have no folder, see REPORT-2.md.
	"unsettled": playUnsettled,
	"grown":     playGrown,
	"foreign":   playForeign,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSystem(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(exitNotRun)
	}()
	defer s.close()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was BROKEN")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
