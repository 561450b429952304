package entry

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// holdLimit is the number of bytes of an answer that are read before any is passed on, so that an answer which breaks
// off can be had from another upstream. It bounds the memory of one request.
const holdLimit = 128 << 10

// hold reads the beginning of the answer's body, the whole of it when it is short. The error is a *caller.Refusal.
func hold(ctx context.Context, answer *caller.Answer) error {
	var held bytes.Buffer
	if answer.Length > 0 {
		held.Grow(int(min(answer.Length, holdLimit)) + bytes.MinRead)
	}
	n, err := io.CopyN(&held, answer.Body, holdLimit)
	switch {
	case errors.Is(err, io.EOF):
		_ = answer.Body.Close()
		answer.Body = io.NopCloser(&held)
		if answer.Length < 0 {
			answer.Length = n
		}
		return nil
	case err != nil:
		_ = answer.Body.Close()
		reason := caller.UpstreamLost
		if ctx.Err() != nil {
			reason = endOf(ctx)
		}
		return caller.Lost(reason, "read answer", answer.Upstream, err)
	}
	answer.Body = &heldBody{Reader: io.MultiReader(&held, answer.Body), Closer: answer.Body}
	return nil
}

// heldBody is a body of which the beginning was read ahead.
type heldBody struct {
	io.Reader
	io.Closer
}
