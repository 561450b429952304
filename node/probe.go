package node

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

const probeStep = "probe"

// Measurement answers probes at the node beside an upstream and bounds all measuring work for it,
// whoever asks, to the rate of the contract.
type Measurement struct {
	home   *Home
	budget *link.ProbeBudget
}

// NewMeasurement returns the measurement of the upstream beside this node.
func NewMeasurement(home *Home) *Measurement {
	return &Measurement{home: home, budget: link.NewProbeBudget(time.Now(), 0)}
}

// Allow takes one piece of measuring work from the budget, such as a read of the upstream's load
// endpoint, and reports whether it may be done.
func (m *Measurement) Allow(now time.Time) bool {
	announced, ok := m.home.Upstream.Announced(now)
	current := m.home.Bundles.Load()
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

// Probe returns the report of the upstream. The error is link.ErrProbeBudget when the budget is used
// up, or a *caller.Refusal.
func (m *Measurement) Probe(now time.Time, incarnation uint64) (link.Report, error) {
	if incarnation != m.home.Incarnation {
		return link.Report{}, caller.Refuse(caller.StaleIncarnation, probeStep, m.home.ID)
	}
	if !m.Allow(now) {
		return link.Report{}, link.ErrProbeBudget
	}
	return m.home.Report(), nil
}
