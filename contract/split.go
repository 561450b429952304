package contract

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	splitShards = 8
	// maxSplitStart bounds the work of choosing where a cycle starts, in steps.
	maxSplitStart = 1000
)

// Splits divides the requests of each route among its parts in proportion to their weights, as evenly as whole requests
// allow. It is safe for concurrent use.
type Splits struct{ routes *shard.Map[string, *split] }

// NewSplits returns Splits that have divided nothing yet.
func NewSplits() *Splits { return &Splits{routes: shard.NewString[string, *split](splitShards)} }

// split is the state of one route. credit holds for each part how far it is behind its share.
type split struct {
	parts  []Part
	credit []int
}

// Next returns the service that gets the next request of the route.
func (s *Splits) Next(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	var service string
	s.routes.Update(r.Name, func(held *split, found bool) (*split, bool) {
		if !found || !slices.Equal(held.parts, r.Parts) {
			held = newSplit(r.Parts)
		}
		service = held.next()
		return held, true
	})
	return service
}

// newSplit starts at a random point of the cycle, so that nodes that start together do not send to the same part
// together.
func newSplit(parts []Part) *split {
	s := &split{parts: slices.Clone(parts), credit: make([]int, len(parts))}
	for range rand.IntN(min(maxSplitStart, max(1, s.total()))) {
		s.next()
	}
	return s
}

func (s *split) total() int {
	total := 0
	for _, part := range s.parts {
		total += part.Weight
	}
	return total
}

func (s *split) next() string {
	best := 0
	for i, part := range s.parts {
		s.credit[i] += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total()
	return s.parts[best].Service
}
