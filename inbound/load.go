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
	p.applyColdRate(now)
	if done := p.startHealthCheck(now); done != nil {
		timer := time.NewTimer(healthCheckWait)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	return p.LastLoad(now)
}

// LastLoad implements peer.Self.
func (p *Proxy) LastLoad(now time.Time) peer.Load {
	report := p.upstream.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	return peer.Load{
		Boot: p.options.Boot, Revision: p.revision, Serving: p.acceptsWork(),
		Running: report.InUse, Waiting: report.Queued, Limit: report.Slots, ServiceTimePercent: p.serviceTimePercent(now),
		RateLimit: p.rateLimit(now),
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
	return p.launchHealthCheck(now, path)
}

// launchHealthCheck starts a health check, unless one is in progress, and returns a channel that is closed when it has ended. It is called
// with the lock held.
func (p *Proxy) launchHealthCheck(now time.Time, path string) <-chan struct{} {
	if p.pendingCheck != nil {
		return p.pendingCheck
	}
	done := make(chan struct{})
	p.pendingCheck, p.checkStartedAt, p.startsUnchecked = done, now, 0
	target := p.current
	go func() {
		report, err := p.checkHealth(target.Address, path)
		p.finishHealthCheck(time.Now(), done, report, err)
		if err == nil {
			p.recordHealthNotice(target, now, report)
			p.recordColdTime(target, now, report)
		}
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
