package inbound

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
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
	// coldSlowdown multiplies the service time of an upstream that has announced a cold start and reports none.
	coldSlowdown = 2
	// usualServiceTimePercent is the service time, in per cent of the usual one, of an upstream that is neither slowed
	// down nor sped up.
	usualServiceTimePercent = 100
)

var errCheckPanicked = errors.New("the health check panicked")

// Load implements peer.Self. It waits up to healthCheckWait for a health check when the last one is older than
// Options.FreshFor.
func (p *Proxy) Load(now time.Time) peer.Load {
	if done := p.startHealthCheck(now); done != nil {
		timer := time.NewTimer(healthCheckWait)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	report := p.upstream.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	return peer.Load{
		Boot: p.options.Boot, Revision: p.revision, Serving: p.acceptsWork(),
		Running: report.InUse, Waiting: report.Queued, Limit: report.Slots, ServiceTimePercent: p.serviceTimePercent(now),
	}
}

// serviceTimePercent returns the service time that the upstream reports, in per cent of the usual one. Without a report
// it is the usual one, or a longer one during a cold start. A reported service time includes the effect of a cold start.
func (p *Proxy) serviceTimePercent(now time.Time) int {
	switch {
	case p.load.ServiceTimePercent > 0:
		return p.load.ServiceTimePercent
	case now.Sub(p.lastSeen) < p.current.ColdStartRemaining:
		return coldSlowdown * usualServiceTimePercent
	}
	return usualServiceTimePercent
}

// startHealthCheck starts a health check unless the known load is fresh or a check is in progress. It returns a channel
// that is closed when the check has ended, nil when none is needed.
func (p *Proxy) startHealthCheck(now time.Time) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.options.HealthPath(p.current.Service)
	if p.state != serving || path == "" || now.Sub(p.loadCheckedAt) < p.options.FreshFor {
		return nil
	}
	if p.pendingCheck != nil {
		return p.pendingCheck
	}
	done := make(chan struct{})
	p.pendingCheck = done
	target := p.current
	go func() {
		report, err := p.checkHealth(target.Address, path)
		p.finishHealthCheck(time.Now(), done, report, err)
		p.recordRefused(target, err)
		close(done)
	}()
	return done
}

// checkHealth requests the health path of the upstream. A panic fails the check only: no HTTP server recovers one here.
func (p *Proxy) checkHealth(addr, path string) (report HealthReport, err error) {
	defer func() {
		if failure := recover(); failure != nil {
			p.options.Log.Error("a health check panicked", "address", addr, "cause", fmt.Sprint(failure), "stack", string(debug.Stack()))
			report, err = HealthReport{}, errCheckPanicked
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	return p.options.Client.CheckHealth(ctx, addr, path)
}

// finishHealthCheck records the load of a health check. A failed check or an unhealthy report does not take the upstream
// out of service: checks give false results both ways, and the results of requests are a better signal. Only a refused connection
// does (recordRefused). A check that was started for an earlier incarnation has no effect.
func (p *Proxy) finishHealthCheck(now time.Time, check chan struct{}, report HealthReport, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingCheck != check {
		return
	}
	p.pendingCheck = nil
	if err != nil || !p.isCurrent(report.UpstreamID) || !report.HasLoad {
		p.loadCheckedAt = now // delays the next check by FreshFor
		return
	}
	p.load, p.loadCheckedAt = report.Load, now
	p.markAlive(now)
}

// isCurrent reports whether the ID is that of the current incarnation. An upstream that reports no ID is taken for it.
func (p *Proxy) isCurrent(id string) bool { return id == "" || id == p.current.ID }

// markAlive records contact with the current incarnation, and reduces the rest of its cold start by the time since the
// last contact.
func (p *Proxy) markAlive(now time.Time) {
	p.current.ColdStartRemaining -= min(p.current.ColdStartRemaining, now.Sub(p.lastSeen))
	p.lastSeen = now
	p.renewAnnouncement(now)
}

// recordAnswer records contact with the upstream, and the load that the answer reports. target is the announcement of the
// incarnation to which the request was sent.
func (p *Proxy) recordAnswer(now time.Time, target Announcement, answer *caller.Answer) {
	load, ok := p.options.Client.LoadOf(answer.Header)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.current.sameIncarnation(target) {
		return
	}
	if ok && load.ServiceTimePercent > 0 {
		p.load, p.loadCheckedAt = load, now
	}
	p.markAlive(now)
}

// Watch probes an upstream that has not announced itself to this process yet, or that refused connections, until ctx
// ends. It takes the upstream into service without waiting for an announcement, which may take more than a second.
func (p *Proxy) Watch(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.probe(now)
		}
	}
}

// probe checks the health of an upstream that is unknown or down, or that lost a connection. It marks a serving upstream as
// unknown when there was no contact for Options.LivenessTimeout.
func (p *Proxy) probe(now time.Time) {
	p.mu.Lock()
	observed, addr := p.state, p.current.Address
	if observed == serving && now.Sub(p.lastSeen) > p.options.LivenessTimeout {
		notify := p.setState(now, unknown, "nothing heard of it")
		p.mu.Unlock()
		notify()
		return
	}
	target, service, recalled := p.current, p.current.Service, len(p.recalledServices) > 0
	p.mu.Unlock()
	if observed == serving && p.crashes.Detector.NeedsEvidence(now) {
		p.checkAfterLoss(target)
		return
	}
	if observed == unknown && addr == "" && recalled {
		addr, service = p.options.Upstream, p.options.Service
	}
	path := p.options.HealthPath(service)
	if (observed != down && observed != unknown) || path == "" || addr == "" {
		return
	}
	report, err := p.checkHealth(addr, path)
	if err == nil && report.Healthy && report.UpstreamID != "" {
		p.adopt(time.Now(), observed, addr, report)
	}
}

// checkAfterLoss checks whether the process of the upstream that lost a connection goes on.
func (p *Proxy) checkAfterLoss(target Announcement) {
	path := p.options.HealthPath(target.Service)
	if path == "" {
		return
	}
	began := time.Now()
	report, err := p.checkHealth(target.Address, path)
	switch {
	case err != nil:
		p.recordRefused(target, err)
	case report.UpstreamID != "" && report.UpstreamID != target.ID:
		p.crashes.Detector.ProcessEnded(began) // another process has its address
	default:
		p.crashes.Detector.ProcessAnswered(began)
	}
}

// recordRefused takes the upstream out of service when the error of a health check shows that its process has ended.
func (p *Proxy) recordRefused(target Announcement, err error) {
	if !errors.Is(err, ErrRefused) {
		return
	}
	p.crashes.Detector.ProcessEnded(time.Now())
	p.recordFailure(target, caller.Refuse(caller.UpstreamUnreachable, serveStep, target.Address))
}

// maxRecalled bounds the number of upstreams that other nodes may report to Recall.
const maxRecalled = 16

// Recall records what another node knows about the upstream that this node had before a restart. A health report names
// no service, and the address may belong to an upstream of another service by now, so without this the node must wait
// until the upstream announces itself.
func (p *Proxy) Recall(former peer.PreviousUpstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recalledServices) < maxRecalled {
		p.recalledServices[former.Upstream] = former.Service
	}
}

// adopt takes an upstream into service on a health report: one that was down, or one that has not announced itself to
// this process and is known through Recall. observed is the state before the health check.
func (p *Proxy) adopt(now time.Time, observed state, addr string, report HealthReport) {
	p.mu.Lock()
	born, departed := p.departed[report.UpstreamID]
	departed = departed && p.current.Born <= born
	if p.state != observed || departed || (p.current.ID != "" && p.current.ID != report.UpstreamID) {
		p.mu.Unlock()
		return
	}
	service, recalled := p.recalledServices[report.UpstreamID]
	if p.current.ID == "" && (!recalled || !report.HasLoad) {
		p.mu.Unlock()
		return
	}
	if p.current.ID == "" {
		p.current = Announcement{ID: report.UpstreamID, Address: addr, Service: service, Slots: max(1, report.Load.Slots)}
	}
	if report.HasLoad {
		p.load = report.Load
	}
	p.lastSeen, p.loadCheckedAt = now, now
	notify := p.setState(now, serving, "answered a reading")
	p.mu.Unlock()
	notify()
}
