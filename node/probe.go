package node

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

const probeStep = "probe"

// ProbeResponder answers probes at the node beside an upstream. It limits the rate of all measurements of
// the upstream, whoever requests them, to the rate in the contract.
type ProbeResponder struct {
	proxy  *UpstreamProxy
	budget *link.ProbeBudget
}

// NewProbeResponder returns the responder to probes of the upstream behind proxy.
func NewProbeResponder(proxy *UpstreamProxy) *ProbeResponder {
	return &ProbeResponder{proxy: proxy, budget: link.NewProbeBudget(time.Now(), 0)}
}

// Allow takes one measurement, such as a read of the upstream's load endpoint, from the budget and
// reports whether it is permitted.
func (m *ProbeResponder) Allow(now time.Time) bool {
	announced, ok := m.proxy.Upstream.Announced(now)
	current := m.proxy.Bundles.Load()
	if !ok || current == nil {
		return false
	}
	contract, ok := current.Contracts[announced.Service]
	if !ok {
		return false
	}
	m.budget.SetRate(now, contract.ProbePerSecond)
	return m.budget.Take(now)
}

// Probe returns the report of the upstream. The error is link.ErrProbeBudgetExhausted when the budget is
// exhausted, or a *caller.Refusal for a probe of another incarnation.
func (m *ProbeResponder) Probe(now time.Time, incarnation uint64) (link.Report, error) {
	if incarnation != m.proxy.Incarnation {
		return link.Report{}, caller.Refuse(caller.StaleIncarnation, probeStep, m.proxy.ID)
	}
	if !m.Allow(now) {
		return link.Report{}, link.ErrProbeBudgetExhausted
	}
	return m.proxy.Report(), nil
}
