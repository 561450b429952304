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

// admission lets requests through to an upstream.
type admission interface {
	Admit(ctx context.Context, t upstream.AdmitRequest) (func(), error)
	Report() link.Report
}

// home is a node beside a fake upstream.
type home struct {
	record   instance.Record
	admit    admission
	budget   *link.ProbeBudget
	pacer    link.ReportPacer
	scenario Scenario
	faulty   bool
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
}

// reply is what comes back from a home node.
type reply struct {
	result  link.Result
	refusal *caller.Refusal
	report  link.Report
}

func (h *home) fault(now time.Time) Fault {
	at := now.Sub(h.started)
	if !h.faulty || at < h.scenario.FaultFrom || at >= h.scenario.FaultTo {
		return Healthy
	}
	return h.scenario.Fault
}

// absent reports whether the upstream has not joined yet.
func (h *home) absent(now time.Time) bool {
	return h.faulty && h.scenario.Fault == Starting && now.Sub(h.started) < h.scenario.FaultFrom
}

func (h *home) serviceTime(now time.Time, class bundle.Class) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if class.Long {
		return lognormal(h.random, longMedian, longSigma, longMost)
	}
	took := lognormal(h.random, shortMedian, shortSigma, shortMost)
	switch h.fault(now) {
	case Slow, Misleading:
		return slowFactor * took
	case Failing:
		return failTime
	case Starting:
		warmed := float64(now.Sub(h.started)-h.scenario.FaultFrom) / float64(h.scenario.FaultTo-h.scenario.FaultFrom)
		return time.Duration(float64(took) * (coldFactor - (coldFactor-1)*warmed))
	}
	return took
}

// serve admits the request and runs it. first is called when the header of a long answer is due.
func (h *home) serve(ctx context.Context, t upstream.AdmitRequest, first func(reply)) reply {
	received := time.Now()
	release, err := h.admit.Admit(ctx, t)
	if err != nil {
		refusal := err.(*caller.Refusal)
		return reply{result: link.Refused, refusal: refusal, report: h.report(received)}
	}
	defer release()
	now := time.Now()
	took, result := h.serviceTime(now, t.Class), link.Served
	if h.fault(now) == Failing {
		took, result = failTime, link.ServerError
	}
	if t.Class.Long {
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

// fifo is the plain admission of the baselines: slots and one queue in order of arrival.
type fifo struct {
	slots  chan struct{}
	queued atomic.Int32
}

func newFIFO(slots int) *fifo { return &fifo{slots: make(chan struct{}, slots)} }

// Admit implements admission. Goroutines that wait to send on a channel are served in order.
func (f *fifo) Admit(ctx context.Context, _ upstream.AdmitRequest) (func(), error) {
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
func (f *fifo) Report() link.Report {
	return link.Report{State: instance.Ready, Slots: cap(f.slots), InUse: len(f.slots), Queued: int(f.queued.Load())}
}

// announced is the admission of the project, kept announced.
type announced struct{ *upstream.Upstream }

func (a announced) announce(h *home) {
	now := time.Now()
	state := instance.Ready
	if h.fault(now) == Starting {
		state = instance.Cold
	}
	a.Announce(now, upstream.Announcement{State: state, Slots: h.record.Slots, TimeToLive: upstream.MaxTimeToLive})
}
