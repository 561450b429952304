package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// Guards against an oracle that counts the wait of a caller for the oracle's own lock as a delay of the node: a node that
// forwards the whole time limit, at once, exceeded the time left.
func TestLockOfOracleIsNotCounted(t *testing.T) {
	const lockTime = 2 * timeLeftSlack
	o := newOracle(serviceOf, startStallDetector(t))
	f := &fleet{t: t, oracle: o}
	m := &machine{fleet: f, ip: fmt.Sprintf("127.%d.%d.9", 16+os.Getpid()>>8%200, os.Getpid()%256)}
	listener, err := net.Listen("tcp", m.address(callersPort))
	assert.NilError(t, err)
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrival := standin.ReceivedRequest{
			At: time.Now(), ID: r.Header.Get(wire.RequestIDField), Instance: "m0-1", TimeLeft: requestLimit,
		}
		_, _ = io.Copy(io.Discard, r.Body)
		o.recordArrival(arrival)
		w.WriteHeader(http.StatusInternalServerError)
	})}
	go func() { _ = node.Serve(listener) }() // returns ErrServerClosed
	defer node.Close()

	r := &request{id: "1", method: http.MethodGet, uri: "/", limit: requestLimit, machine: 0}
	o.mu.Lock()
	time.AfterFunc(lockTime, o.mu.Unlock)
	newCaller(f, 0, m, rand.New(rand.NewPCG(1, 0))).deliver(r, []byte("body"), false)
	o.checkRequest(r)
	assert.Equal(t, len(r.arrivals), 1)
	assert.Equal(t, len(o.violations), 0, "%q", o.violations)
}
