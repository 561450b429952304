package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// LocalForwarder is a Forwarder that serves requests for the upstream beside this node within the process and
// passes all others to Remote.
type LocalForwarder struct {
	Proxy  *UpstreamProxy
	Remote Forwarder
}

var _ Forwarder = (*LocalForwarder)(nil)

// Forward implements Forwarder.
func (s *LocalForwarder) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	if string(target.ID) != s.Proxy.ID {
		return s.Remote.Forward(ctx, req, target)
	}
	began := time.Now()
	answer, err := s.Proxy.Serve(ctx, req, target.Incarnation)
	report := s.Proxy.Report()
	report.Elapsed = time.Since(began)
	return answer, &report, err
}
