package sidecar

import (
	"context"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// forwarder serves requests for the node's own upstream in process and sends all others to their node.
type forwarder struct {
	localBoot uint64 // boot of this node
	proxy     *inbound.Proxy
	remote    entry.Forwarder
}

var _ entry.Forwarder = (*forwarder)(nil)

// Forward implements entry.Forwarder.
func (f *forwarder) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	if target.Incarnation != f.localBoot {
		return f.remote.Forward(ctx, req, target)
	}
	answer, err := f.proxy.Serve(ctx, req, target.Incarnation)
	return answer, nil, err
}
