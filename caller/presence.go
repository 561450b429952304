package caller

import (
	"context"
	"errors"
)

// ErrSuperseded is the cause with which the context of an attempt ends when another attempt has answered the request.
var ErrSuperseded = errors.New("another attempt has answered the request")

type presenceKey struct{}

// WithPresence returns a context of a request that carries left, which reports whether the client that sent the request has closed its
// connection. left does not block.
func WithPresence(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, presenceKey{}, left)
}

// HasLeft reports whether the client that sent the request has left: it asks at this moment, while the context of the request ends some time
// after the client has closed its connection.
func HasLeft(ctx context.Context) bool {
	left, ok := ctx.Value(presenceKey{}).(func() bool)
	return ok && left()
}
