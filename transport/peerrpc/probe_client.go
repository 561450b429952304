package peerrpc

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	probeClientShards = 16
	// probeMaxClients limits the cached clients, which share the connections of the HTTP client.
	probeMaxClients      = 4096
	probeMaxMessageBytes = 4 << 10
	// probeMaxCount limits each count in a report, probeMaxServiceTime its service time. A report beyond them is refused.
	probeMaxCount       = 1 << 16
	probeMaxServiceTime = time.Hour
)

var errProbeReport = errors.New("probe report is missing or has a value out of range")

// ProbeClient sends probes to other nodes. It implements link.ProbeSender.
type ProbeClient struct {
	http    connect.HTTPClient
	clients *shard.Map[string, magnoliawharfv1connect.ProbeServiceClient]
}

var _ link.ProbeSender = (*ProbeClient)(nil)

// NewProbeClient returns a client that sends its requests through client.
func NewProbeClient(client connect.HTTPClient) *ProbeClient {
	return &ProbeClient{
		http:    client,
		clients: shard.NewString[string, magnoliawharfv1connect.ProbeServiceClient](probeClientShards),
	}
}

func (p *ProbeClient) client(addr string) magnoliawharfv1connect.ProbeServiceClient {
	create := func() magnoliawharfv1connect.ProbeServiceClient {
		return magnoliawharfv1connect.NewProbeServiceClient(p.http, "http://"+addr,
			connect.WithReadMaxBytes(probeMaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
	}
	if client, ok := p.clients.Get(addr); ok {
		return client
	}
	if p.clients.Len() >= probeMaxClients {
		return create()
	}
	return p.clients.GetOrCreate(addr, create)
}

// Probe implements link.ProbeSender.
func (p *ProbeClient) Probe(ctx context.Context, target instance.Record) (link.Report, error) {
	response, err := p.client(target.PeerAddr).Probe(ctx, connect.NewRequest(&api.ProbeRequest{Incarnation: target.Incarnation}))
	if err != nil {
		return link.Report{}, err
	}
	return probeReportFromWire(response.Msg.GetReport())
}

// probeReportFromWire checks and converts a report.
func probeReportFromWire(r *api.ProbeReport) (link.Report, error) {
	if r == nil || r.GetState() > uint32(instance.Failed) || r.GetServiceUs() > uint64(probeMaxServiceTime.Microseconds()) {
		return link.Report{}, errProbeReport
	}
	for _, count := range []uint32{r.GetSlots(), r.GetInUse(), r.GetQueued(), r.GetLong(), r.GetQueuedLong()} {
		if count > probeMaxCount {
			return link.Report{}, errProbeReport
		}
	}
	return link.Report{
		State: instance.State(r.GetState()), Slots: int(r.GetSlots()), InUse: int(r.GetInUse()), Queued: int(r.GetQueued()),
		LongInUse: int(r.GetLong()), QueuedLong: int(r.GetQueuedLong()),
		ServiceTime: time.Duration(r.GetServiceUs()) * time.Microsecond,
	}, nil
}
