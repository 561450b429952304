package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// roundTripFunc is an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against an oracle that counts the wait of a caller for the oracle's own lock as a delay of the node, before the
// request is sent or after its end.
func TestLockOfOracleIsNotCounted(t *testing.T) {
	const lockTime = 500 * time.Millisecond
	o := newOracle(serviceOf, &stallDetector{})
	var unlocked []time.Time
	holdLock := func() {
		o.mu.Lock()
		time.AfterFunc(lockTime, func() {
			unlocked = append(unlocked, time.Now())
			o.mu.Unlock()
		})
	}
	f := &fleet{t: t, oracle: o}
	c := newCaller(f, 0, &machine{fleet: f}, rand.New(rand.NewPCG(1, 0)))
	c.client.Transport = roundTripFunc(func(*http.Request) (*http.Response, error) {
		holdLock()
		return nil, http.ErrServerClosed
	})
	r := &request{id: "1", method: http.MethodGet, uri: "/", limit: requestLimit}
	holdLock()
	c.deliver(r, []byte("body"), false)
	assert.Equal(t, len(unlocked), 2)
	assert.Assert(t, !r.sent.Before(unlocked[0]), "sent %v before the lock was free", unlocked[0].Sub(r.sent))
	assert.Assert(t, r.ended.Before(unlocked[1]), "ended %v after the lock was free", r.ended.Sub(unlocked[1]))
}
