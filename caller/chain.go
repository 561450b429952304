package caller

import "time"

// MaxChainAttempts bounds the attempt count that a chain may claim.
const MaxChainAttempts = 64

// Chain is what a call inherits from the call above it, in whose service it is made. The zero
// value belongs to a call without one above.
type Chain struct {
	Attempt  int           // attempts of the calls above; more than 1 when one of them is a retry
	Depth    int           // number of calls above
	TimeLeft time.Duration // time left when the call above was sent to its upstream
	SentAt   time.Time     // wall clock of the node that sent it
}

// Below returns the chain that the upstream of req passes on to the calls that it makes.
func Below(req *Request, now time.Time) Chain {
	return Chain{Attempt: req.Attempt, Depth: req.Depth + 1, TimeLeft: req.Deadline.Sub(now), SentAt: now}
}

// Limit returns the time that a call below may take: at most what is left of the call above. The
// time since then is read off the wall clock. When that gives less than nothing or more than all of
// the time, the clocks of the two nodes differ too much, and the time left then is taken as it was.
func (c Chain) Limit(now time.Time, timeout time.Duration) time.Duration {
	if c.Depth == 0 {
		return timeout
	}
	left := c.TimeLeft
	if since := now.Sub(c.SentAt); since > 0 && since < left {
		left -= since
	}
	return min(timeout, left)
}
