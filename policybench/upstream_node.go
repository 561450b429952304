package policybench

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// admission admits requests to an upstream and reports its load.
type admission interface {
	Admit(ctx context.Context, t upstream.AdmitRequest) (func(), error)
	Report() link.Report
}

// upstreamNode is a node beside a simulated upstream.
type upstreamNode struct {
	record   instance.Record
	admit    admission
	budget   *link.ProbeBudget
	pacer    link.ReportPacer
	scenario Scenario
	hasFault bool
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
}

// reply is the response of a node beside an upstream.
type reply struct {
	result  link.Result
	refusal *caller.Refusal
	report  link.Report
}

func (n *upstreamNode) fault(now time.Time) Fault {
	at := now.Sub(n.started)
	if !n.hasFault || at < n.scenario.FaultFrom || at >= n.scenario.FaultTo {
		return Healthy
	}
	return n.scenario.Fault
}

// notJoined reports whether the upstream has yet to join the service.
func (n *upstreamNode) notJoined(now time.Time) bool {
	return n.hasFault && n.scenario.Fault == Starting && now.Sub(n.started) < n.scenario.FaultFrom
}

func (n *upstreamNode) serviceTime(now time.Time, class bundle.Class) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if class.Long {
		return lognormal(n.random, longMedian, longSigma, longMax)
	}
	took := lognormal(n.random, shortMedian, shortSigma, shortMax)
	switch n.fault(now) {
	case Slow, Misleading:
		return slowFactor * took
	case Failing:
		return failTime
	case Starting:
		progress := float64(now.Sub(n.started)-n.scenario.FaultFrom) / float64(n.scenario.FaultTo-n.scenario.FaultFrom)
		return time.Duration(float64(took) * (coldFactor - (coldFactor-1)*progress))
	}
	return took
}

// serve admits the request and simulates its run. For a long request it calls first when the response header is sent.
func (n *upstreamNode) serve(ctx context.Context, request upstream.AdmitRequest, first func(reply)) reply {
	received := time.Now()
	release, err := n.admit.Admit(ctx, request)
	if err != nil {
		refusal := err.(*caller.Refusal)
		return reply{result: link.Refused, refusal: refusal, report: n.report(received)}
	}
	defer release()
	now := time.Now()
	took, result := n.serviceTime(now, request.Class), link.Served
	if n.fault(now) == Failing {
		took, result = failTime, link.ServerError
	}
	if request.Class.Long {
		first(reply{result: result, report: n.report(received)})
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return reply{result: result, report: n.report(received)}
	case <-ctx.Done():
		return reply{result: link.TimedOut, refusal: caller.RefuseUncertain(caller.DeadlinePassed, "bench", "", ctx.Err())}
	}
}

func (n *upstreamNode) report(received time.Time) link.Report {
	report := n.admit.Report()
	report.Elapsed = time.Since(received)
	if n.fault(time.Now()) == Misleading {
		report.InUse, report.Queued, report.ServiceTime = 0, 0, shortMedian/2
	}
	return report
}

// fifoQueue is the admission of the baselines: a number of slots and one queue in order of arrival.
type fifoQueue struct {
	slots  chan struct{}
	queued atomic.Int32
}

func newFIFO(slots int) *fifoQueue { return &fifoQueue{slots: make(chan struct{}, slots)} }

// Admit implements admission. Goroutines that wait to send on a channel are served in order.
func (f *fifoQueue) Admit(ctx context.Context, _ upstream.AdmitRequest) (func(), error) {
	f.queued.Add(1)
	defer f.queued.Add(-1)
	select {
	case f.slots <- struct{}{}:
		return func() { <-f.slots }, nil
	case <-ctx.Done():
		return nil, caller.Refuse(caller.DeadlinePassed, "bench", "")
	}
}

// Report implements admission.
func (f *fifoQueue) Report() link.Report {
	return link.Report{State: instance.Ready, Slots: cap(f.slots), InUse: len(f.slots), Queued: int(f.queued.Load())}
}

// announcedAdmission is the admission of package upstream, with announcements of the simulated upstream.
type announcedAdmission struct{ *upstream.Upstream }

func (a announcedAdmission) announce(n *upstreamNode) {
	now := time.Now()
	state := instance.Ready
	if n.fault(now) == Starting {
		state = instance.Cold
	}
	a.Announce(now, upstream.Announcement{State: state, Slots: n.record.Slots, TimeToLive: upstream.MaxTimeToLive})
}
