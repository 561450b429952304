package entry

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	estimateShards = 16 // locks of the table of routes
	// minSampleWeight is the weight of one request in the moving averages once there are enough samples.
	minSampleWeight = 1.0 / 32
	// outlierClip bounds the duration of one request to a multiple of the average, so that outliers of a heavy-tailed
	// distribution do not dominate it.
	outlierClip = 4
	// initialObjectiveShare is the share of a route's objective that is the estimate before the first sample.
	initialObjectiveShare = 0.25
	defaultServiceTime    = 100 * time.Millisecond // before the first sample, without an objective
	defaultBytes          = 4 << 10                // bytes transferred, before the first sample
)

// estimateTable holds the estimate of each route, by name.
type estimateTable struct {
	routes *shard.Map[string, *routeEstimate]
}

func newEstimateTable() estimateTable {
	return estimateTable{routes: shard.NewString[string, *routeEstimate](estimateShards)}
}

// forRoute returns the estimate of the route and creates it when it is new.
func (t estimateTable) forRoute(route *contract.Route) *routeEstimate {
	return t.routes.GetOrCreate(route.Name, func() *routeEstimate { return newRouteEstimate(route) })
}

// find returns the estimate of the route. It does not keep a new one.
func (t estimateTable) find(route *contract.Route) *routeEstimate {
	if e, ok := t.routes.Get(route.Name); ok {
		return e
	}
	return newRouteEstimate(route)
}

func newRouteEstimate(route *contract.Route) *routeEstimate {
	initial := defaultServiceTime
	if route.LatencyObjective > 0 {
		initial = time.Duration(initialObjectiveShare * float64(route.LatencyObjective))
	}
	return &routeEstimate{serviceTime: initial.Seconds(), bytes: defaultBytes}
}

// routeEstimate holds moving averages over the answered requests of one route, and the recent times of its first attempts.
type routeEstimate struct {
	latencies latencyWindow

	mu          sync.Mutex
	serviceTime float64 // seconds from sending to the answer, without the wait for a slot
	bytes       float64 // length of the answer
	samples     int
}

func (e *routeEstimate) get() (serviceTime time.Duration, bytes float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.serviceTime * float64(time.Second)), e.bytes
}

func (e *routeEstimate) add(took time.Duration, length int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples++
	weight := max(minSampleWeight, 1/float64(e.samples+1))
	e.serviceTime += (min(took.Seconds(), outlierClip*e.serviceTime) - e.serviceTime) * weight
	if length >= 0 {
		e.bytes += (float64(length) - e.bytes) * weight
	}
}
