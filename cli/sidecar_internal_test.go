package cli

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// Guards against a second SIGTERM or a SIGHUP that ends the process during the graceful stop and aborts its requests in flight. The
// signal ends the test process when it is not suppressed.
func TestSignalsAreSuppressedDuringStop(t *testing.T) {
	restore := suppressTermination()
	defer restore()
	other := make(chan os.Signal, 1)
	signal.Notify(other, syscall.SIGTERM, syscall.SIGHUP)
	signal.Stop(other) // as Run does when the stop begins
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		assert.NilError(t, syscall.Kill(os.Getpid(), s))
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a SIGHUP that ends a process which is still reading its settings. The signal ends the test process when it is
// not suppressed.
func TestSignalIsSuppressedDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, syscall.Mkfifo(file, 0o600)) // a reader blocks until there is a writer
	ended := make(chan error, 1)
	go func() { ended <- runSidecar(&cobra.Command{}, file) }()
	writer, err := os.OpenFile(file, os.O_WRONLY, 0) // returns when runSidecar has opened the file
	assert.NilError(t, err)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, err = writer.WriteString("wrong = 1\n")
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	assert.ErrorContains(t, <-ended, "wrong")
}
