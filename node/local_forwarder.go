package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// ShortCut is a Forwarder that serves requests for the upstream beside this node within the process and
// passes all others to Remote.
type ShortCut struct {
	Home   *Home
	Remote Forwarder
}

var _ Forwarder = (*ShortCut)(nil)

// Forward implements Forwarder.
func (s *ShortCut) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	if string(target.ID) != s.Home.ID {
		return s.Remote.Forward(ctx, req, target)
	}
	began := time.Now()
	answer, err := s.Home.Serve(ctx, req, target.Incarnation)
	report := s.Home.Report()
	report.Took = time.Since(began)
	return answer, &report, err
}
