package caller_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a request that is taken for another one, or not recognised, because of the framing, the length or the pieces of its body.
func TestIdentityIsThatOfTheWholeRequest(t *testing.T) {
	long := strings.Repeat("x", 2*caller.ReplayLimit)
	for _, content := range []string{"", "a", "b", strings.Repeat("a", 5000), long, long + "y"} {
		want := caller.Fingerprint("s", "POST", "/", []byte(content))
		for name, body := range map[string]*caller.Body{
			"length":       caller.NewBody(strings.NewReader(content), int64(len(content))),
			"chunks":       caller.NewBody(strings.NewReader(content), -1),
			"small pieces": caller.NewBody(iotest.OneByteReader(strings.NewReader(content)), -1),
			"end apart":    caller.NewBody(iotest.HalfReader(strings.NewReader(content)), int64(len(content))),
		} {
			req := &caller.Request{Method: "POST", Path: "/", Body: body}
			req.SetFingerprint("s")
			_, known := req.Identity()
			assert.Assert(t, !known, name)
			reader, err := body.Attempt()
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, reader)
			assert.NilError(t, err)
			got, known := req.Identity()
			assert.Assert(t, known, name)
			assert.Equal(t, got, want, name)
		}
	}
	broken := caller.NewBody(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))), 3)
	req := &caller.Request{Method: "POST", Path: "/", Body: broken}
	req.SetFingerprint("s")
	reader, err := broken.Attempt()
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, reader)
	assert.ErrorIs(t, err, iotest.ErrTimeout)
	_, known := req.Identity()
	assert.Assert(t, !known, "a body that broke off")
}

// Guards against an upstream that gets the whole of a request which is refused at the end of its body.
func TestRefusedBodyStaysIncomplete(t *testing.T) {
	refused := errors.New("refused")
	for name, length := range map[string]int64{"length": 5, "chunks": -1} {
		body := caller.NewBody(iotest.OneByteReader(strings.NewReader("hello")), length)
		body.CheckEnd(func() error { return refused })
		reader, err := body.Attempt()
		assert.NilError(t, err)
		got, err := io.ReadAll(reader)
		assert.ErrorIs(t, err, refused, name)
		assert.Assert(t, length < 0 || len(got) < 5, "%s: all bytes were read", name)
	}
}
