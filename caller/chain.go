package caller

import "time"

// MaxChainAttempts is the largest attempt count accepted in a chain.
const MaxChainAttempts = 64

// Chain is the context that a call inherits from its parent call, the call whose processing at an
// upstream made it. The zero value belongs to a call without a parent.
type Chain struct {
	Attempt  int           // attempt number along the ancestor calls; more than 1 when one of them is a retry
	Depth    int           // number of ancestor calls
	TimeLeft time.Duration // time left of the parent call when it was sent to its upstream
	SentAt   time.Time     // wall-clock time at which that node sent it
}

// ChildChain returns the chain for the calls that the upstream makes while it processes req.
func ChildChain(req *Request, now time.Time) Chain {
	return Chain{Attempt: req.Attempt, Depth: req.Depth + 1, TimeLeft: req.Deadline.Sub(now), SentAt: now}
}

// Limit returns the time that a call in this chain may take: its timeout, and at most the time left of
// the parent call. The time elapsed since SentAt is measured by the wall clocks of two nodes. When it
// is negative or exceeds the time left, the clocks differ too much, and TimeLeft is used unchanged.
func (c Chain) Limit(now time.Time, timeout time.Duration) time.Duration {
	if c.Depth == 0 {
		return timeout
	}
	left := c.TimeLeft
	if elapsed := now.Sub(c.SentAt); elapsed > 0 && elapsed < left {
		left -= elapsed
	}
	return min(timeout, left)
}
