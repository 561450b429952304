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

type probedHome struct {
	report link.Report
	err    error
}

func (h *probedHome) Probe(time.Time, uint64) (link.Report, error) { return h.report, h.err }

// Guards against reports that change on the wire, against reports out of range that reach a
// decision, and against a used-up budget that looks like another failure.
func TestProbeOverConnect(t *testing.T) {
	good := link.Report{
		State: instance.Ready, Slots: 12, InUse: 5, Queued: 3, LongInUse: 2, QueuedLong: 1, ServiceTime: 7 * time.Millisecond,
	}
	cases := []struct {
		name string
		home probedHome
		code connect.Code // 0 for success, CodeUnknown for a report that the receiver refuses
	}{
		{"report", probedHome{report: good}, 0},
		{"budget used up", probedHome{err: link.ErrProbeBudgetExhausted}, connect.CodeResourceExhausted},
		{"unknown state", probedHome{report: link.Report{State: 99}}, connect.CodeUnknown},
		{"too many slots", probedHome{report: link.Report{Slots: 1 << 20}}, connect.CodeUnknown},
		{"service time out of range", probedHome{report: link.Report{ServiceTime: 48 * time.Hour}}, connect.CodeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(peerrpc.NewProbeHandler(&c.home))
			server := httptest.NewServer(mux)
			defer server.Close()
			target := instance.Record{PeerAddr: server.Listener.Addr().String()}
			got, err := peerrpc.NewProbePeers(server.Client()).Probe(t.Context(), target)
			if c.code != 0 {
				assert.Equal(t, connect.CodeOf(err), c.code)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, good)
		})
	}
}
