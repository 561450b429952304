package contract

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	splitShards = 8
	// maxSplitOffset bounds the work of advancing to a random position in the cycle, in steps.
	maxSplitOffset = 1000
)

// Splitter distributes the requests of each route among its parts by smooth weighted round robin. It is safe for concurrent
// use.
type Splitter struct {
	routes *shard.Map[string, *splitState]
}

// NewSplitter returns a value that holds no routes yet.
func NewSplitter() *Splitter {
	return &Splitter{routes: shard.NewString[string, *splitState](splitShards)}
}

// splitState is the round robin state of one route. currentWeight holds for each part how far it is behind its share.
type splitState struct {
	parts         []WeightedService
	currentWeight []int
}

// Next returns the service for the next request of the route. A change of the route's parts restarts its cycle.
func (s *Splitter) Next(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	var service string
	s.routes.Update(r.Name, func(state *splitState, found bool) (*splitState, bool) {
		if !found || !slices.Equal(state.parts, r.Split) {
			state = newSplitState(r.Split)
		}
		service = state.next()
		return state, true
	})
	return service
}

// newSplitState starts at a random position in the cycle, so that nodes that start at the same time do not send to the
// same part in lockstep.
func newSplitState(parts []WeightedService) *splitState {
	s := &splitState{parts: slices.Clone(parts), currentWeight: make([]int, len(parts))}
	for range rand.IntN(min(maxSplitOffset, max(1, s.totalWeight()))) {
		s.next()
	}
	return s
}

func (s *splitState) totalWeight() int {
	total := 0
	for _, part := range s.parts {
		total += part.Weight
	}
	return total
}

// next adds to each part its weight, selects the part with the highest current weight and subtracts the total from it.
func (s *splitState) next() string {
	best := 0
	for i, part := range s.parts {
		s.currentWeight[i] += part.Weight
		if s.currentWeight[i] > s.currentWeight[best] {
			best = i
		}
	}
	s.currentWeight[best] -= s.totalWeight()
	return s.parts[best].Service
}
