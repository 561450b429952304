package quota

import (
	"math"
	"time"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

const (
	// validity is the time for which a granted token may be spent. The requests of a window of 5 s then have tokens of at most 5.5 s,
	// which is what the bound on a window allows beyond the rate.
	validity = 500 * time.Millisecond
	// lotTime is the resolution of the ends of validity, which are rounded down.
	lotTime = validity / lotCount
	// lotCount is the number of different ends of validity among the unused tokens.
	lotCount = 8
	// lookAhead is the time whose expected demand is asked for in advance.
	lookAhead = 200 * time.Millisecond
	// refillShare is the share of the expected demand below which tokens are asked for.
	refillShare = 0.5
	// minLookAhead is the expected demand below which a node asks per request: tokens in advance would mostly expire.
	minLookAhead = 2
	// demandTime is the time constant of the estimated demand.
	demandTime = time.Second
)

// unusedTokens are the tokens that a node may spend, by the end of their validity in units of lotTime since its start. An end e is in
// lot e modulo lotCount+1.
type unusedTokens struct {
	lots [lotCount + 1]lot
}

type lot struct {
	expires int64
	count   int
}

// expiry returns the end of validity of tokens that are valid until the given time since the start of the node.
func expiry(until time.Duration) int64 { return int64(until / lotTime) }

// add adds tokens, unless they have expired.
func (u *unusedTokens) add(now time.Duration, expires int64, count int) {
	if expires <= expiry(now) {
		expiredTotal.Add(count)
		return
	}
	l := &u.lots[expires%int64(len(u.lots))]
	if l.expires != expires {
		expiredTotal.Add(l.count)
		*l = lot{expires: expires}
	}
	l.count += count
}

// take takes the token that expires first.
func (u *unusedTokens) take(now time.Duration) (expires int64, ok bool) {
	present := expiry(now)
	for e := present + 1; e <= present+int64(len(u.lots)); e++ {
		if l := &u.lots[e%int64(len(u.lots))]; l.count > 0 && l.expires == e {
			l.count--
			return e, true
		}
	}
	return 0, false
}

// count returns the number of valid tokens.
func (u *unusedTokens) count(now time.Duration) int {
	total, present := 0, expiry(now)
	for i := range u.lots {
		if u.lots[i].expires > present {
			total += u.lots[i].count
		}
	}
	return total
}

// limitTo drops the valid tokens beyond the burst of a new quota.
func (u *unusedTokens) limitTo(now time.Duration, q contract.Quota) {
	left, present := int(min(MaxTokens, q.Burst)), expiry(now)
	for i := range u.lots {
		if u.lots[i].expires <= present {
			continue
		}
		u.lots[i].count = min(u.lots[i].count, left)
		left -= u.lots[i].count
	}
}

// rateAverage is a decaying average of the requests of a tenant at this node, or of its granted tokens, a second.
type rateAverage struct {
	perSecond float64
	at        time.Time
}

func (d *rateAverage) observe(now time.Time, count int) {
	d.perSecond = d.current(now) + float64(count)/demandTime.Seconds()
	d.at = now
}

func (d *rateAverage) current(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandTime.Seconds())
}

// expected returns the requests expected in the time of lookAhead, 0 when it is too few to ask in advance.
func (d *rateAverage) expected(now time.Time) float64 {
	if e := d.current(now) * lookAhead.Seconds(); e >= minLookAhead {
		return e
	}
	return 0
}

// takeUnused takes an unused token. It asks for more when few are left.
func (t *tenant) takeUnused(now time.Time) (Token, bool) {
	t.mu.Lock()
	elapsed := now.Sub(t.node.start)
	expires, ok := t.tokens.take(elapsed)
	if !ok {
		t.mu.Unlock()
		return Token{}, false
	}
	t.demand.observe(now, 1)
	expected := t.demand.expected(now)
	if expected > 0 && !t.pending.open && !now.Before(t.pending.holdUntil) && float64(t.tokens.count(elapsed)) < refillShare*expected {
		send := t.openRequest(now)
		t.mu.Unlock()
		send.run()
	} else {
		t.mu.Unlock()
	}
	grantedTotal.Inc()
	return Token{tenant: t, expires: expires}, true
}
