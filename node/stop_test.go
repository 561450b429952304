package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Guards against a caller's connection that a stopping node closes without an answer, because the request, or the arrival of its
// body, outlasts the stop timeout.
func TestStopAnswersRequestsThatOutlastTheStopTimeout(t *testing.T) {
	const (
		stopTimeout  = 2 * time.Second
		leaveTimeout = 2 * time.Second        // of the node, for leaving the fleet
		arrivalTime  = 500 * time.Millisecond // in which the node reads a request, also on a busy machine
	)
	for _, test := range []struct {
		name    string
		request string
		status  int
		ran     string
		reasons []string
	}{
		{"at the upstream", "GET /catalogue/x?work=8s HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadGateway, "unknown", []string{"draining"}},
		{"short body incomplete", "POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", http.StatusServiceUnavailable, "not-run", []string{"draining"}},
		{"long body incomplete", "POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\nabc", http.StatusBadGateway, "unknown", []string{"draining", "body-cut"}}, // by what the attempt notices first
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := testSettings(t, "n1")
			s.Runtime.StopTimeout = settings.Duration(stopTimeout)
			n := startNode(t, &node.Node{Settings: s, Bundles: testBundle()})
			startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
			waitForState(t, n.Fleet(), "n1", instance.Ready)
			conn, err := net.Dial("tcp", n.CallerAddr())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprint(conn, test.request)
			assert.NilError(t, err)
			time.Sleep(arrivalTime)
			stopping := time.Now()
			assert.ErrorContains(t, n.stop(), "still in flight")
			assert.Check(t, time.Since(stopping) < stopTimeout+leaveTimeout, "the stop took %v", time.Since(stopping))
			assert.NilError(t, n.Cleanup())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get(transport.HeaderRan), test.ran)
			reason := response.Header.Get(transport.HeaderRefusal)
			assert.Check(t, slices.Contains(test.reasons, reason), reason)
		})
	}
}
