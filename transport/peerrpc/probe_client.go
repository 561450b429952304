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
	// probeMaxClients bounds the cached clients; each holds no connection of its own.
	probeMaxClients = 4096
	probeMaxMessage = 4 << 10
	// probeMaxCount bounds the counts of a report, probeMaxService its service time.
	probeMaxCount   = 1 << 16
	probeMaxService = time.Hour
)

var errProbeReport = errors.New("report is missing or out of range")

// ProbePeers sends probes to other nodes.
type ProbePeers struct {
	http    connect.HTTPClient
	clients *shard.Map[string, magnoliawharfv1connect.ProbeServiceClient]
}

var _ link.ProbeSender = (*ProbePeers)(nil)

// NewProbePeers returns peers that are reached through the HTTP client.
func NewProbePeers(client connect.HTTPClient) *ProbePeers {
	return &ProbePeers{
		http:    client,
		clients: shard.NewString[string, magnoliawharfv1connect.ProbeServiceClient](probeClientShards),
	}
}

func (p *ProbePeers) client(addr string) magnoliawharfv1connect.ProbeServiceClient {
	create := func() magnoliawharfv1connect.ProbeServiceClient {
		return magnoliawharfv1connect.NewProbeServiceClient(p.http, "http://"+addr,
			connect.WithReadMaxBytes(probeMaxMessage), connect.WithAcceptCompression("gzip", nil, nil))
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
func (p *ProbePeers) Probe(ctx context.Context, target instance.Record) (link.Report, error) {
	response, err := p.client(target.PeerAddr).Probe(ctx, connect.NewRequest(&api.ProbeRequest{Incarnation: target.Incarnation}))
	if err != nil {
		return link.Report{}, err
	}
	return probeReport(response.Msg.GetReport())
}

// probeReport checks and translates a report.
func probeReport(r *api.ProbeReport) (link.Report, error) {
	if r == nil || r.GetState() > uint32(instance.Failed) || r.GetServiceUs() > uint64(probeMaxService.Microseconds()) {
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
