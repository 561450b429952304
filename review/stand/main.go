// Command stand plays the review's cases that are scripts: it starts a store, backends and requesters as stand-ins, and the
// nodes as separate processes with the command of the deploy file. It is run in the root of the repository.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	argCount = 3
)

// cases plays one case each. A case returns whether the rule was broken, and what was seen. Without the trouble it does the
// same except for the disruption.
var cases = map[string]func(record *recorder, trouble bool) (isBroken bool, seen string, err error){
	"crash-in-quiet-hours":      crashInQuietHours,
	"crash-over-restarts":       crashOverRestarts,
	"late-report-after-leaving": lateReportAfterLeaving,
	"leaving-after-restart":     leavingAfterRestart,
	"reborn-in-jumped-time":     rebornInJumpedTime,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != argCount {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return notRun
	}
	playCase, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return notRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	isBroken, seen, err := playCase(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	record.logf("%s", seen)
	fmt.Println(seen)
	if isBroken {
		return broken
	}
	return held
}
