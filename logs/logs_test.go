package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/logs"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

// Guards against lines that are lost by Close or written out of order. It runs in virtual time, since Close waits for a limited
// time.
func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		w := logs.NewWriter(&out, logs.DefaultBufferSize)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = w.Write([]byte(line))
		}
		w.Close()
		assert.Equal(t, out.String(), "a\nb\nc\n")
	})
}

// Guards against a Write that blocks when the output is not read, and against a buffer that then grows without bound.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	w := logs.NewWriter(writer, 100)
	began := time.Now()
	for range 1000 {
		_, _ = w.Write([]byte("0123456789\n"))
	}
	assert.Assert(t, time.Since(began) < time.Second)
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	time.Sleep(200 * time.Millisecond)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	_ = writer.Close()
	text := <-read
	assert.Assert(t, strings.Contains(text, "log lines dropped"), text)
	assert.Assert(t, strings.HasSuffix(text, "last\n"), text)
}
