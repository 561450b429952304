// Package policybench compares routing and admission policies in virtual time: the code of packages link and
// upstream, and simple baselines, with simulated callers, network and upstreams. It simulates the load on one
// service, not a cluster: there is no membership, no store and no control traffic except reports and probes.
//
// Run sleeps by package time, so it must be called in a testing/synctest bubble.
package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// Deployment is the part of a user's installation that determines the load on one service.
type Deployment struct {
	Name          string
	DataCentres   int
	OneWayLatency time.Duration // network latency between data centres
	EntryNodes    int           // nodes that callers send to
	Upstreams     int           // that serve the measured service
	Slots         int           // of each upstream
	ProbeTime     time.Duration // round trip of a probe
}

// The measured deployments.
var (
	Ibikoresho = Deployment{
		Name: "Ibikoresho Lending", DataCentres: 3, OneWayLatency: 500 * time.Microsecond,
		EntryNodes: 13, Upstreams: 4, Slots: 12, ProbeTime: 6 * time.Millisecond,
	}
	Schoonpot = Deployment{
		Name: "Schoonpot Labs", DataCentres: 3, OneWayLatency: 1400 * time.Microsecond,
		EntryNodes: 13, Upstreams: 4, Slots: 6, ProbeTime: 6 * time.Millisecond,
	}
)

const (
	localOneWay = 100 * time.Microsecond // network latency within a data centre
	// Service times of short requests are lognormal, with a mean of 1.65 and a 99th percentile of 10 times the
	// median, up to shortMax.
	shortMedian = 8 * time.Millisecond
	shortSigma  = 1.0
	shortMax    = time.Second
	// Downloads take seconds, because their callers have slow connections.
	longMedian = 3 * time.Second
	longSigma  = 0.7
	longMax    = 20 * time.Second

	probeRate   = 1.0 // probes per second, for each upstream and, at an entry node, for each service
	probeBytes  = 400
	reportBytes = 46
)

func lognormal(r *rand.Rand, median time.Duration, sigma float64, most time.Duration) time.Duration {
	return min(most, time.Duration(float64(median)*math.Exp(sigma*r.NormFloat64())))
}

func shortMean() time.Duration {
	return time.Duration(float64(shortMedian) * math.Exp(shortSigma*shortSigma/2))
}

// capacity returns the short requests that the service can serve in a second.
func (d Deployment) capacity() float64 {
	return float64(d.Upstreams*d.Slots) / shortMean().Seconds()
}

var contract = bundle.Contract{
	Service: "service", ProbePerSecond: probeRate, ReportMaxAge: 500 * time.Millisecond,
	ColdStart: 4 * time.Second, Aging: time.Second, LongShare: 0.5, RetryRatio: 0.1,
	Classes: []bundle.Class{
		{Name: "short", MaxQueue: 300, MaxWait: 300 * time.Millisecond},
		{Name: "long", Priority: 1, Long: true, MaxQueue: 20, MaxWait: 10 * time.Second},
	},
}

const (
	shortTimeout = 500 * time.Millisecond
	longTimeout  = 40 * time.Second
)

// Scenario is the load and the fault of one run. The fault affects the first upstream.
type Scenario struct {
	Name      string
	Length    time.Duration
	Load      float64 // offered short requests as a share of the capacity
	PeakLoad  float64 // as Load, during the peak; 0 for no peak
	PeakFrom  time.Duration
	PeakTo    time.Duration
	Downloads float64 // offered long requests as a share of what all slots can serve
	Fault     Fault
	FaultFrom time.Duration
	FaultTo   time.Duration
}

// Fault is a fault of an upstream.
type Fault uint8

// Faults.
const (
	Healthy    Fault = iota
	Slow             // service takes slowFactor times as long
	Failing          // responds with an error after failTime
	Misleading       // as Slow, with reports of an idle and fast upstream
	Starting         // joins at FaultFrom: service takes coldFactor times as long, decreasing to 1 until FaultTo
)

const (
	slowFactor = 8
	coldFactor = 4
	failTime   = time.Millisecond
)

// Scenarios are the measured scenarios.
var Scenarios = []Scenario{
	{Name: "steady", Length: 10 * time.Second, Load: 0.6},
	{Name: "downloads", Length: 20 * time.Second, Load: 0.3, Downloads: 0.3},
	{Name: "surge of downloads", Length: 20 * time.Second, Load: 0.3, Downloads: 0.6},
	{Name: "no downloads", Length: 20 * time.Second, Load: 0.3},
	{Name: "slow upstream", Length: 10 * time.Second, Load: 0.5, Fault: Slow, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "fast failure", Length: 10 * time.Second, Load: 0.5, Fault: Failing, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "misleading reports", Length: 10 * time.Second, Load: 0.5, Fault: Misleading, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "cold start", Length: 10 * time.Second, Load: 0.5, Fault: Starting, FaultFrom: 2 * time.Second, FaultTo: 6 * time.Second},
	{Name: "crest", Length: 10 * time.Second, Load: 0.5, PeakLoad: 4, PeakFrom: 3 * time.Second, PeakTo: 6 * time.Second},
	{Name: "crest with downloads", Length: 12 * time.Second, Load: 0.3, Downloads: 0.3, PeakLoad: 4, PeakFrom: 5 * time.Second, PeakTo: 8 * time.Second},
}
