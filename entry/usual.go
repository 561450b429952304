package entry

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	usualShards = 16
	// usualWeight is the weight of one request in the running means.
	usualWeight = 1.0 / 32
	// usualClip bounds one request to a multiple of the mean, so that one of a heavy tail does not count for many.
	usualClip = 4
	// objectiveShare is the share of a route's objective that its requests are taken to need before any was seen.
	objectiveShare = 0.25
	defaultWork    = 100 * time.Millisecond
	defaultBytes   = 4 << 10
)

// usualTable holds what requests of each route usually need.
type usualTable struct{ routes *shard.Map[string, *usual] }

func newUsualTable() usualTable {
	return usualTable{routes: shard.NewString[string, *usual](usualShards)}
}

func (t usualTable) of(route *contract.Route) *usual {
	return t.routes.GetOrCreate(route.Name, func() *usual {
		work := defaultWork
		if route.Objective > 0 {
			work = time.Duration(objectiveShare * float64(route.Objective))
		}
		return &usual{work: work.Seconds(), bytes: defaultBytes}
	})
}

// usual is what requests of one route need.
type usual struct {
	mu    sync.Mutex
	work  float64 // seconds from sending to the whole answer
	bytes float64 // of the answer
	seen  int
}

func (u *usual) get() (work time.Duration, bytes float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.work * float64(time.Second)), u.bytes
}

func (u *usual) add(took time.Duration, length int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen++
	weight := max(usualWeight, 1/float64(u.seen+1))
	u.work += (min(took.Seconds(), usualClip*u.work) - u.work) * weight
	if length >= 0 {
		u.bytes += (float64(length) - u.bytes) * weight
	}
}
