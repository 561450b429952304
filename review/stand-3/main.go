// Command stand-3 plays the scripted cases of the third review against processes of the node. It is called by the run.sh of a case with the
// name of the case and the folder for its record. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the scripted cases by name. Each returns what broke the rule, "" if it held.
var cases = map[string]func(f *fleet, trouble bool) (broken string, err error){
	"answer-behind-a-slow-one":           answerBehindASlowOne,
	"short-freeze-of-the-allocator":      shortFreezeOfTheAllocator,
	"crash-behind-a-requester-that-left": crashBehindARequesterThatLeft,
	"crash-again-after-an-added-route":   crashAgainAfterAddedRoute,
	"crash-again-after-a-restart":        crashAgainAfterRestart,
}

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// longest bounds a run.
	longest = 117 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.close()
	go closeEarly(f)
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil && !errors.Is(err, errCannotRun):
		err = fmt.Errorf("%w: %w", errCannotRun, err)
		fallthrough
	case err != nil:
		r.add("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// closeEarly ends all processes of the fleet after a signal, or when the run takes too long.
func closeEarly(f *fleet) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(longest):
	}
	f.record.add("the run was ended early")
	f.close()
	os.Exit(exitCannotRun)
}
