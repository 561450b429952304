package inbound

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// healthCheckTimeout is the time after which a health check is given up.
	healthCheckTimeout = 300 * time.Millisecond
	// healthCheckWait is how long Load waits for a health check before it returns the last known load.
	healthCheckWait = 10 * time.Millisecond
	// probeInterval is the time between health checks of an upstream that is down or unknown.
	probeInterval = 200 * time.Millisecond
	// coldSlowdown multiplies the pace of an upstream that has announced a cold start and reports no pace.
	coldSlowdown = 2
	// usualPace is the pace, in per cent, of an upstream that is neither slowed nor sped up.
	usualPace = 100
)

// Load implements peer.Self. It waits up to healthCheckWait for a health check when the last one is older than
// Options.FreshFor.
func (g *Proxy) Load(now time.Time) peer.Load {
	if done := g.startHealthCheck(now); done != nil {
		timer := time.NewTimer(healthCheckWait)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	report := g.upstream.Report()
	g.mu.Lock()
	defer g.mu.Unlock()
	return peer.Load{
		Boot: g.options.Boot, Revision: g.revision, Serving: g.acceptsWork(),
		Running: report.InUse, Waiting: report.Queued, Limit: report.Slots, Pace: g.pace(now),
	}
}

// pace returns the pace that the upstream reports. Without a report it is the usual pace, or a slower one during a cold
// start. A reported pace includes the effect of a cold start.
func (g *Proxy) pace(now time.Time) int {
	switch {
	case g.load.Pace > 0 && !g.loadCheckedAt.IsZero():
		return g.load.Pace
	case now.Sub(g.lastSeen) < g.current.ColdStartRemaining:
		return coldSlowdown * usualPace
	}
	return usualPace
}

// startHealthCheck starts a health check unless the known load is fresh or a check is in progress. It returns a channel
// that is closed when the check has ended, nil when none is needed.
func (g *Proxy) startHealthCheck(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	path := g.options.HealthPath(g.current.Service)
	if g.state != serving || path == "" || now.Sub(g.loadCheckedAt) < g.options.FreshFor {
		return nil
	}
	if g.pendingCheck != nil {
		return g.pendingCheck
	}
	done := make(chan struct{})
	g.pendingCheck = done
	addr := g.current.Address
	go func() {
		report, err := g.checkHealth(addr, path)
		g.finishHealthCheck(time.Now(), report, err)
		close(done)
	}()
	return done
}

func (g *Proxy) checkHealth(addr, path string) (HealthReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	return g.options.Client.Read(ctx, addr, path)
}

// finishHealthCheck records the load of a health check. A failed check or an unhealthy report does not take the upstream
// out of service: checks give false results both ways, and the results of requests are a better signal.
func (g *Proxy) finishHealthCheck(now time.Time, report HealthReport, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingCheck = nil
	if err != nil || !g.isCurrent(report.UpstreamID) || !report.HasLoad {
		g.loadCheckedAt = now // delays the next check by FreshFor
		return
	}
	g.load, g.loadCheckedAt = report.Load, now
	g.markAlive(now)
}

// isCurrent reports whether the ID is that of the current incarnation. An upstream that reports no ID is taken for it.
func (g *Proxy) isCurrent(id string) bool { return id == "" || id == g.current.ID }

// markAlive records contact with the current incarnation, and reduces the rest of its cold start by the time since the
// last contact.
func (g *Proxy) markAlive(now time.Time) {
	g.current.ColdStartRemaining -= min(g.current.ColdStartRemaining, now.Sub(g.lastSeen))
	g.lastSeen = now
	g.renewAnnouncement(now)
}

// recordAnswer records contact with the upstream with the ID, and the load that the answer reports.
func (g *Proxy) recordAnswer(now time.Time, id string, answer *caller.Answer) {
	load, ok := g.options.Client.LoadOf(answer.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.current.ID {
		return
	}
	if ok && load.Pace > 0 {
		g.load, g.loadCheckedAt = load, now
	}
	g.markAlive(now)
}

// Watch probes an upstream that has not announced itself to this process yet, or that refused connections, until ctx
// ends. It takes the upstream into service without waiting for an announcement, which may take more than a second.
func (g *Proxy) Watch(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.probe(now)
		}
	}
}

// probe checks the health of an upstream that is unknown or down. It marks a serving upstream as unknown when there was
// no contact for Options.LivenessTimeout.
func (g *Proxy) probe(now time.Time) {
	g.mu.Lock()
	observed, addr := g.state, g.current.Address
	if observed == serving && now.Sub(g.lastSeen) > g.options.LivenessTimeout {
		notify := g.setState(now, unknown, "nothing heard of it")
		g.mu.Unlock()
		notify()
		return
	}
	service, recalled := g.current.Service, len(g.recalledServices) > 0
	g.mu.Unlock()
	if observed == unknown && addr == "" && recalled {
		addr, service = g.options.Upstream, g.options.Service
	}
	path := g.options.HealthPath(service)
	if (observed != down && observed != unknown) || path == "" || addr == "" {
		return
	}
	report, err := g.checkHealth(addr, path)
	if err == nil && report.Healthy && report.UpstreamID != "" && report.HasLoad {
		g.adopt(time.Now(), observed, addr, report)
	}
}

// maxRecalled bounds the number of upstreams that other nodes may report to Recall.
const maxRecalled = 16

// Recall records what another node knows about the upstream that this node had before a restart. A health report names
// no service, and the address may belong to an upstream of another service by now, so without this the node must wait
// until the upstream announces itself.
func (g *Proxy) Recall(former peer.PreviousUpstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.recalledServices) < maxRecalled {
		g.recalledServices[former.Upstream] = former.Service
	}
}

// adopt takes an upstream into service on a health report: one that was down, or one that has not announced itself to
// this process and is known through Recall. observed is the state before the health check.
func (g *Proxy) adopt(now time.Time, observed state, addr string, report HealthReport) {
	g.mu.Lock()
	_, departed := g.departed[report.UpstreamID]
	if g.state != observed || departed || (g.current.ID != "" && g.current.ID != report.UpstreamID) {
		g.mu.Unlock()
		return
	}
	service, recalled := g.recalledServices[report.UpstreamID]
	if g.current.ID == "" && !recalled {
		g.mu.Unlock()
		return
	}
	if g.current.ID == "" {
		g.current = Announcement{ID: report.UpstreamID, Address: addr, Service: service, Slots: max(1, report.Load.Slots)}
	}
	g.lastSeen, g.load, g.loadCheckedAt = now, report.Load, now
	notify := g.setState(now, serving, "answered a reading")
	g.mu.Unlock()
	notify()
}
