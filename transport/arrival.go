package transport

import (
	"context"
	"time"
)

// Arrival describes how a request reached the server.
type Arrival struct {
	At     time.Time // when its head had been received; zero if it was not received before its turn
	Behind int       // requests of its connection that were not answered yet when it was started
}

type arrivalKey struct{}

// WithArrival adds the arrival of a request to its context.
func WithArrival(ctx context.Context, a Arrival) context.Context {
	return context.WithValue(ctx, arrivalKey{}, a)
}

// ArrivalOf returns the arrival of the request with this context, the zero value when it has none.
func ArrivalOf(ctx context.Context) Arrival {
	a, _ := ctx.Value(arrivalKey{}).(Arrival)
	return a
}
