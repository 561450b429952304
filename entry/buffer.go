package entry

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// bufferLimit is the number of bytes of an answer that are read before any is passed on, so that the request can be
// retried at another upstream when the answer breaks off within them. It bounds the memory for one answer.
const bufferLimit = 128 << 10

// bufferAnswer reads up to bufferLimit bytes of the answer's body ahead. It closes the original body when that was all of
// it or reading failed. Its errors are *caller.Refusal.
func bufferAnswer(ctx context.Context, answer *caller.Answer) error {
	var buffered bytes.Buffer
	if answer.Length > 0 {
		buffered.Grow(int(min(answer.Length, bufferLimit)) + bytes.MinRead)
	}
	n, err := io.CopyN(&buffered, answer.Body, bufferLimit)
	switch {
	case errors.Is(err, io.EOF):
		_ = answer.Body.Close()
		answer.Body = &bufferedBody{buffered}
		if answer.Length < 0 {
			answer.Length = n
		}
		return nil
	case err != nil:
		_ = answer.Body.Close()
		reason := caller.UpstreamLost
		if ctx.Err() != nil {
			reason = caller.ContextReason(ctx)
		}
		return caller.RefuseUncertain(reason, "read answer", answer.Upstream, err)
	}
	answer.Body = &partlyBufferedBody{Reader: io.MultiReader(&buffered, answer.Body), Closer: answer.Body}
	return nil
}

// isComplete reports whether the whole body of the answer was read ahead. It then needs neither the upstream nor the context
// of the request any more.
func isComplete(answer *caller.Answer) bool {
	_, ok := answer.Body.(*bufferedBody)
	return ok
}

// bufferedBody is a body that was read ahead as a whole.
type bufferedBody struct{ bytes.Buffer }

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// partlyBufferedBody is a body whose beginning was read ahead.
type partlyBufferedBody struct {
	io.Reader
	io.Closer
}
