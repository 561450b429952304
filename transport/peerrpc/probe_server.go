package peerrpc

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// ProbeResponder answers probes of the upstream beside this node. The error is link.ErrProbeBudgetExhausted when the probe
// budget of the upstream is used up.
type ProbeResponder interface {
	Probe(now time.Time, incarnation uint64) (link.Report, error)
}

type probeServer struct{ responder ProbeResponder }

// NewProbeHandler returns the path prefix and the handler that pass probes to the responder.
func NewProbeHandler(responder ProbeResponder) (string, http.Handler) {
	return magnoliawharfv1connect.NewProbeServiceHandler(&probeServer{responder: responder}, connect.WithReadMaxBytes(probeMaxMessageBytes))
}

// Probe implements magnoliawharfv1connect.ProbeServiceHandler.
func (s *probeServer) Probe(_ context.Context, in *connect.Request[api.ProbeRequest]) (*connect.Response[api.ProbeResponse], error) {
	report, err := s.responder.Probe(time.Now(), in.Msg.GetIncarnation())
	switch {
	case errors.Is(err, link.ErrProbeBudgetExhausted):
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&api.ProbeResponse{Report: &api.ProbeReport{
		State: uint32(report.State), Slots: uint32(report.Slots), InUse: uint32(report.InUse), Queued: uint32(report.Queued),
		Long: uint32(report.LongInUse), QueuedLong: uint32(report.QueuedLong), ServiceUs: uint64(report.ServiceTime.Microseconds()),
	}}), nil
}
