package datacentre

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// helpersPerRound is the number of other members asked in each round.
	helpersPerRound = 7
	// extraHelpers is how many more members are asked after a round with few confirmations. Some of those asked
	// may have failed as well.
	extraHelpers = 7
	// fewConfirmationsPercent is the share of confirmations below which a round counts as having few.
	fewConfirmationsPercent = 60
	// confirmationPercent is the share of the asked members that must confirm that the member is
	// unresponsive. After the loss of 40 of 188 members 79 in 100 can answer: with more than half required
	// 1 of 12 runs took over 3 s. In a rack of 40 that is cut off, 21 in 100 answer, so that it rarely
	// declares the rest failed.
	confirmationPercent = 40
)

// confirmations counts the answers of members that were asked about an unresponsive one.
type confirmations struct {
	asked     int
	confirmed int // members of the own data centre or region that could not reach it
	remote    int // members of other regions that could not reach it
}

func (c *confirmations) add(asked, confirmed, remote int) {
	c.asked += asked
	c.confirmed += confirmed
	c.remote += remote
}

// nextHelpers returns the members to ask in the next round: members not asked before, or the first ones again
// when too few are left. No more than helpersPerRound are asked about a member that has been unresponsive for
// longer than unconfirmedSuspicionAge, which limits the traffic of a node that is cut off.
func (c *confirmations) nextHelpers(helpers []instance.Record, unresponsive time.Duration) []instance.Record {
	fresh := helpers[min(c.asked, len(helpers)):]
	if c.few() && unresponsive < unconfirmedSuspicionAge && len(fresh) >= helpersPerRound+extraHelpers {
		return fresh[:helpersPerRound+extraHelpers]
	}
	if len(fresh) >= helpersPerRound {
		return fresh[:helpersPerRound]
	}
	return helpers[:min(helpersPerRound, len(helpers))]
}

func (c *confirmations) few() bool { return 100*c.confirmed < fewConfirmationsPercent*c.asked }

// sufficient reports whether enough of the asked members confirmed that the member is unresponsive.
func (c *confirmations) sufficient() bool { return 100*c.confirmed > confirmationPercent*c.asked }

// any reports whether at least one member confirmed it.
func (c *confirmations) any() bool { return c.confirmed+c.remote > 0 }
