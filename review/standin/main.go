// Command standin plays one review case: it starts the project's programs as
// separate processes on loopback addresses, emulates the platform around them
// (store, workers, callers), brings about one disruption and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not
// run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// shown is how many violations of one kind are printed.
const shown = 5

// caseFunc plays a case and returns what broke the rule, or an error if the case could
// not run.
type caseFunc func(s *system, trouble bool) (broken []string, err error)

// reviewCase is a case and the deployment that it needs.
type reviewCase struct {
	play   caseFunc
	layout layout
}

// cases holds the cases by name. The scripts of review/1 to review/5 play poison,
// lost-answers, entry-gone, behind and kill-all; the report names the others.
var cases = map[string]reviewCase{
	"behind-twice": {playBehindTakeover, layout{entries: 3, workers: 3}},
	"behind":       {playBehind, layout{entries: 3, workers: 3}},
	"entry-gone":   {playEntryGone, layout{entries: 3, workers: 3}},
	"kill-all":     {playKillAll, layout{entries: 3, workers: 3}},
	"lasting":      {playLasting, layout{entries: 3, workers: 3}},
	"late-accept":  {playLateAccept, layout{entries: 2, workers: 2}},
	"less-room":    {playLessRoom, layout{entries: 2, workers: 2}},
	"lost-answers": {playLostAnswers, layout{entries: 3, workers: 3}},
	"poison":       {playPoison, layout{entries: 3, workers: 3}},
	"roll-entry":   {playRollEntry, layout{entries: 3, workers: 3}},
	"two-freezes":  {playTwoFreezes, layout{entries: 3, workers: 3}},
	"shrunk-room":  {playShrunkRoom, layout{entries: 3, workers: 3}},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays the named case and writes record.txt into folder.
func play(name, folder string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %v", name, trouble)
	s, err := startSystem(c.layout, rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := c.play(s, trouble)
	s.close()
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(broken) > 0 {
		for _, line := range broken {
			rec.printf("BROKEN: %s", line)
			fmt.Println("BROKEN:", line)
		}
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
