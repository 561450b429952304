// Package policybench measures routing and admission policies against each other in virtual time:
// the real link and upstream code, and simple baselines, between fakes of callers, network and
// upstreams. It simulates the load on one service, not a cluster: there is no membership, no store
// and no control traffic but reports and probes.
//
// Run uses package time, so that it belongs into a testing/synctest bubble.
package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// Deployment is the size of a user's installation as far as it matters to the load on one service.
type Deployment struct {
	Name        string
	DataCentres int
	OneWay      time.Duration // between data centres
	Entries     int           // nodes that callers send to
	Upstreams   int           // of the measured service
	Slots       int           // of each upstream
	ProbeTime   time.Duration
}

// The deployments of today.
var (
	Ibikoresho = Deployment{
		Name: "Ibikoresho Lending", DataCentres: 3, OneWay: 500 * time.Microsecond,
		Entries: 13, Upstreams: 4, Slots: 12, ProbeTime: 6 * time.Millisecond,
	}
	Schoonpot = Deployment{
		Name: "Schoonpot Labs", DataCentres: 3, OneWay: 1400 * time.Microsecond,
		Entries: 13, Upstreams: 4, Slots: 6, ProbeTime: 6 * time.Millisecond,
	}
)

const (
	nearOneWay = 100 * time.Microsecond // within a data centre
	// Service times of short work are lognormal: the median, and a mean of 1.65 and a 99th
	// percentile of 10 times the median.
	shortMedian = 8 * time.Millisecond
	shortSigma  = 1.0
	shortMost   = time.Second
	// Downloads take seconds, as their callers' connections are slow.
	longMedian = 3 * time.Second
	longSigma  = 0.7
	longMost   = 20 * time.Second

	probeRate   = 1.0 // per second, for each upstream and, at an entry node, for each service
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

// Scenario is the load and the faults of one run. The fault concerns the first upstream.
type Scenario struct {
	Name      string
	Length    time.Duration
	Load      float64 // offered short work as a share of the capacity
	Crest     float64 // offered share during the crest, 0 without one
	CrestFrom time.Duration
	CrestTo   time.Duration
	Downloads float64 // long requests per second, as a share of what all slots could serve
	Fault     Fault
	FaultFrom time.Duration
	FaultTo   time.Duration
}

// Fault is what is wrong with an upstream.
type Fault uint8

// Faults.
const (
	Healthy    Fault = iota
	Slow             // service takes 8 times as long
	Failing          // answers with an error after a millisecond
	Misleading       // as Slow, while its reports say that it is idle and fast
	Starting         // joins cold: service takes 4 times as long and improves over 4 s
)

const (
	slowFactor = 8
	coldFactor = 4
	failTime   = time.Millisecond
)

// Scenarios are the runs of a measurement.
var Scenarios = []Scenario{
	{Name: "steady", Length: 10 * time.Second, Load: 0.6},
	{Name: "downloads", Length: 20 * time.Second, Load: 0.3, Downloads: 0.3},
	{Name: "surge of downloads", Length: 20 * time.Second, Load: 0.3, Downloads: 0.6},
	{Name: "no downloads", Length: 20 * time.Second, Load: 0.3},
	{Name: "slow upstream", Length: 10 * time.Second, Load: 0.5, Fault: Slow, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "fast failure", Length: 10 * time.Second, Load: 0.5, Fault: Failing, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "misleading reports", Length: 10 * time.Second, Load: 0.5, Fault: Misleading, FaultFrom: 2 * time.Second, FaultTo: 8 * time.Second},
	{Name: "cold start", Length: 10 * time.Second, Load: 0.5, Fault: Starting, FaultFrom: 2 * time.Second, FaultTo: 6 * time.Second},
	{Name: "crest", Length: 10 * time.Second, Load: 0.5, Crest: 4, CrestFrom: 3 * time.Second, CrestTo: 6 * time.Second},
	{Name: "crest with downloads", Length: 12 * time.Second, Load: 0.3, Downloads: 0.3, Crest: 4, CrestFrom: 5 * time.Second, CrestTo: 8 * time.Second},
}
