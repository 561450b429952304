package caller

import (
	"sync"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	budgetShards      = 16
	defaultRetryRatio = 0.1 // tokens per first attempt
	defaultCapacity   = 10  // tokens
)

// RetryBudgets holds the retry budgets of this node, one for each service. It is safe for concurrent use.
type RetryBudgets struct {
	capacity      func() float64
	initialTokens float64 // tokens in a new budget
	budgets       *shard.Map[string, *RetryBudget]
}

// NewRetryBudgets returns budgets that start full, with a capacity of ten tokens each.
func NewRetryBudgets() *RetryBudgets {
	return newBudgets(func() float64 { return defaultCapacity }, defaultCapacity)
}

// NewEmptyRetryBudgets returns budgets that start without tokens, so that a restart allows no burst of retries. capacity
// returns the capacity of each in tokens; it may change with the number of nodes that share an allowance.
func NewEmptyRetryBudgets(capacity func() float64) *RetryBudgets { return newBudgets(capacity, 0) }

func newBudgets(capacity func() float64, initialTokens float64) *RetryBudgets {
	return &RetryBudgets{capacity: capacity, initialTokens: initialTokens, budgets: shard.NewString[string, *RetryBudget](budgetShards)}
}

// Of returns the budget of a service.
func (b *RetryBudgets) Of(service string) *RetryBudget {
	return b.budgets.GetOrCreate(service, func() *RetryBudget { return &RetryBudget{capacity: b.capacity, tokens: b.initialTokens} })
}

// CopyOf returns a copy of the budget of a service, whose use has no effect on it.
func (b *RetryBudgets) CopyOf(service string) *RetryBudget {
	budget, ok := b.budgets.Get(service)
	if !ok {
		return &RetryBudget{capacity: b.capacity, tokens: b.initialTokens}
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return &RetryBudget{capacity: budget.capacity, tokens: budget.tokens}
}

// RetryBudget is a token bucket that limits the retries and hedges of one service. Each first attempt adds
// a fraction of a token and each retry takes a whole one, so that retries stay a fixed share of the
// traffic even when every request fails.
type RetryBudget struct {
	capacity func() float64

	mu     sync.Mutex
	tokens float64
}

// Deposit adds ratio tokens for a first attempt. A ratio of 0 selects the default of 0.1.
func (b *RetryBudget) Deposit(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity(), b.tokens+ratio)
}

// TryWithdraw takes one token, which allows one retry or hedge, and reports whether one was available.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a retry or hedge that was not sent.
func (b *RetryBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity(), b.tokens+1)
}
