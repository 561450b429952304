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

// home is a node beside a simulated upstream.
type home struct {
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

// reply is the response of a home node.
type reply struct {
	result  link.Result
	refusal *caller.Refusal
	report  link.Report
}

func (h *home) fault(now time.Time) Fault {
	at := now.Sub(h.started)
	if !h.hasFault || at < h.scenario.FaultFrom || at >= h.scenario.FaultTo {
		return Healthy
	}
	return h.scenario.Fault
}

// notJoined reports whether the upstream has yet to join the service.
func (h *home) notJoined(now time.Time) bool {
	return h.hasFault && h.scenario.Fault == Starting && now.Sub(h.started) < h.scenario.FaultFrom
}

func (h *home) serviceTime(now time.Time, class bundle.Class) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if class.Long {
		return lognormal(h.random, longMedian, longSigma, longMax)
	}
	took := lognormal(h.random, shortMedian, shortSigma, shortMax)
	switch h.fault(now) {
	case Slow, Misleading:
		return slowFactor * took
	case Failing:
		return failTime
	case Starting:
		progress := float64(now.Sub(h.started)-h.scenario.FaultFrom) / float64(h.scenario.FaultTo-h.scenario.FaultFrom)
		return time.Duration(float64(took) * (coldFactor - (coldFactor-1)*progress))
	}
	return took
}

// serve admits the request and simulates its run. For a long request it calls first when the response header is sent.
func (h *home) serve(ctx context.Context, request upstream.AdmitRequest, first func(reply)) reply {
	received := time.Now()
	release, err := h.admit.Admit(ctx, request)
	if err != nil {
		refusal := err.(*caller.Refusal)
		return reply{result: link.Refused, refusal: refusal, report: h.report(received)}
	}
	defer release()
	now := time.Now()
	took, result := h.serviceTime(now, request.Class), link.Served
	if h.fault(now) == Failing {
		took, result = failTime, link.ServerError
	}
	if request.Class.Long {
		first(reply{result: result, report: h.report(received)})
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return reply{result: result, report: h.report(received)}
	case <-ctx.Done():
		return reply{result: link.TimedOut, refusal: caller.RefuseUncertain(caller.DeadlinePassed, "bench", "", ctx.Err())}
	}
}

func (h *home) report(received time.Time) link.Report {
	report := h.admit.Report()
	report.Elapsed = time.Since(received)
	if h.fault(time.Now()) == Misleading {
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

func (a announcedAdmission) announce(h *home) {
	now := time.Now()
	state := instance.Ready
	if h.fault(now) == Starting {
		state = instance.Cold
	}
	a.Announce(now, upstream.Announcement{State: state, Slots: h.record.Slots, TimeToLive: upstream.MaxTimeToLive})
}
