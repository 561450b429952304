package cli

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second SIGTERM or a SIGHUP that cuts off the requests which the stop after the first SIGTERM waits for. The test
// process ends when the signal is not held.
func TestSignalsDuringTheStopAreHeld(t *testing.T) {
	release := holdTerminations()
	defer release()
	other := make(chan os.Signal, 1)
	signal.Notify(other, syscall.SIGTERM, syscall.SIGHUP)
	signal.Stop(other) // as the command line lets go of the signals when the stop begins
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		assert.NilError(t, syscall.Kill(os.Getpid(), s))
		time.Sleep(50 * time.Millisecond)
	}
}
