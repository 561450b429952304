package caller

import (
	"sync"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	budgetShards      = 16
	defaultRetryRatio = 0.1
	maxSavedRetries   = 10
)

// Budgets holds the retry budget of each service at this node. It is safe for concurrent use.
type Budgets struct {
	burst    func() float64
	saved    float64 // of a new budget
	services *shard.Map[string, *Budget]
}

// NewBudgets returns budgets that are full. Each saves up to ten retries.
func NewBudgets() *Budgets {
	return newBudgets(func() float64 { return maxSavedRetries }, maxSavedRetries)
}

// NewEmptyBudgets returns budgets that have nothing saved, so that a restart grants no retries. Each saves up to burst
// retries, which may change with the number of nodes that share an allowance.
func NewEmptyBudgets(burst func() float64) *Budgets { return newBudgets(burst, 0) }

func newBudgets(burst func() float64, saved float64) *Budgets {
	return &Budgets{burst: burst, saved: saved, services: shard.NewString[string, *Budget](budgetShards)}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	return b.services.GetOrCreate(service, func() *Budget { return &Budget{burst: b.burst, saved: b.saved} })
}

// Budget is the token bucket from which the retries and hedges of one service are paid. First
// attempts fill it, so that retries stay a share of the traffic when everything fails.
type Budget struct {
	burst func() float64

	mu    sync.Mutex
	saved float64
}

// Earn adds what one first attempt earns. A ratio of 0 is the default of 0.1.
func (b *Budget) Earn(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.burst(), b.saved+ratio)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
