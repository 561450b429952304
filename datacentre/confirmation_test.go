package datacentre

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	centreSize = 188
	rackSize   = 40
)

// Guards against a failure that is not confirmed at the first attempt, and is known a second later, because
// many of the asked members were lost with the same rack, and against a rack that is cut off and declares the
// rest failed.
func TestChanceOfConfirmation(t *testing.T) {
	const others = centreSize - 2 // all but the asking and the unresponsive member
	lossOfRack := float64(rackSize) * (1 - confirmationChance(others, centreSize-rackSize-1))
	assert.Assert(t, lossOfRack < 0.001, "chance of an unconfirmed failure at the loss of a rack: %.5f", lossOfRack)
	cutOffRack := confirmationChance(others, rackSize-1)
	assert.Assert(t, cutOffRack < 0.05, "chance of a false declaration in a rack that is cut off: %.5f", cutOffRack)
}

// confirmationChance returns the chance that a failure is confirmed when the given number of the other members
// can be reached and members are asked at random.
func confirmationChance(others, reachable int) float64 {
	helpers := make([]instance.Record, others)
	var chance func(c confirmations, round int) float64
	chance = func(c confirmations, round int) float64 {
		if round == pingRounds {
			if c.sufficient() {
				return 1
			}
			return 0
		}
		count := len(c.nextHelpers(helpers, 0))
		sum := 0.0
		for confirmed := range count + 1 {
			next := c
			next.add(count, confirmed, 0)
			sum += drawChance(others-c.asked, reachable-c.confirmed, count, confirmed) * chance(next, round+1)
		}
		return sum
	}
	return chance(confirmations{}, 0)
}

// drawChance returns the chance that exactly hits of the drawn members are among the reachable ones.
func drawChance(members, reachable, drawn, hits int) float64 {
	return choose(reachable, hits) * choose(members-reachable, drawn-hits) / choose(members, drawn)
}

func choose(n, k int) float64 {
	if k > n {
		return 0
	}
	result := 1.0
	for i := range k {
		result *= float64(n-i) / float64(i+1)
	}
	return result
}
