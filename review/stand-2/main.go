// Command stand-2 plays the cases of the second review. It starts the project's node as separate processes on loopback addresses, beside
// stand-ins for the platform's store, the back ends and the callers, and checks what these see.
//
// Usage: stand-2 CASE, in the folder of the case, where it writes record.txt. The variable TROUBLE set to 0 leaves out the disruption. The
// exit code is 0 when the rule held, 1 when it was broken and 2 when the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

const (
	// program is the node's program, below the folder of a case.
	program = "../../target/magnoliawharf"
	// maxRunTime ends a case that hangs.
	maxRunTime = 115 * time.Second
)

// cases maps the names of the cases to their functions. A case returns whether the rule was broken.
var cases = map[string]func(f *fleet, rec *record, trouble bool) (broken bool, err error){
	"crash": crash,
	"cut":   cut,
	"drain": drain,
	"gone":  gone,
	"idle":  idle,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 crash|cut|drain|gone|idle")
		os.Exit(notRun)
	}
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := run(os.Args[1], rec, os.Getenv("TROUBLE") != "0")
	rec.close()
	os.Exit(code)
}

// run plays the case and returns the exit code.
func run(name string, rec *record, trouble bool) int {
	path, err := filepath.Abs(program)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return notRun
	}
	folder, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return notRun
	}
	defer os.RemoveAll(folder)
	f := newFleet(path, folder, rec)
	defer f.stop()
	ended := make(chan int, 1)
	go func() { ended <- play(name, f, rec, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-interrupted:
		rec.printf("the case was interrupted")
	case <-time.After(maxRunTime):
		rec.printf("the case was given up after %v", maxRunTime)
	}
	return notRun
}

func play(name string, f *fleet, rec *record, trouble bool) int {
	rec.printf("case %s, disruption %v", name, trouble)
	broken, err := cases[name](f, rec, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return notRun
	case broken:
		rec.printf("result: the rule was broken")
		return ruleBroken
	}
	rec.printf("result: the rule held")
	return ruleHeld
}
