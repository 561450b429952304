package peerrpc_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// fixedResponder answers every probe with the same report or error.
type fixedResponder struct {
	report link.Report
	err    error
}

func (r *fixedResponder) Probe(time.Time, uint64) (link.Report, error) { return r.report, r.err }

// Guards against reports that are altered in transit, against reports out of range that the client accepts, and against an
// exhausted probe budget that is reported as another failure.
func TestProbeOverConnect(t *testing.T) {
	good := link.Report{
		State: instance.Ready, Slots: 12, InUse: 5, Queued: 3, LongInUse: 2, QueuedLong: 1, ServiceTime: 7 * time.Millisecond,
	}
	cases := []struct {
		name      string
		responder fixedResponder
		code      connect.Code // 0 for success, CodeUnknown for a report that the receiver refuses
	}{
		{"report", fixedResponder{report: good}, 0},
		{"budget used up", fixedResponder{err: link.ErrProbeBudgetExhausted}, connect.CodeResourceExhausted},
		{"unknown state", fixedResponder{report: link.Report{State: 99}}, connect.CodeUnknown},
		{"too many slots", fixedResponder{report: link.Report{Slots: 1 << 20}}, connect.CodeUnknown},
		{"service time out of range", fixedResponder{report: link.Report{ServiceTime: 48 * time.Hour}}, connect.CodeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(peerrpc.NewProbeHandler(&c.responder))
			server := httptest.NewServer(mux)
			defer server.Close()
			target := instance.Record{PeerAddr: server.Listener.Addr().String()}
			got, err := peerrpc.NewProbeClient(server.Client()).Probe(t.Context(), target)
			if c.code != 0 {
				assert.Equal(t, connect.CodeOf(err), c.code)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, good)
		})
	}
}
