package link_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/link"
)

// trialWait is longer than the first back-off of an ejected link.
const trialWait = 300 * time.Millisecond

// ejectWithPending returns a set with one ejected link that is due for a trial, the link, and an attempt on it that was sent before
// its ejection and is still in flight.
func ejectWithPending(t *testing.T) (set *link.Set, ejected *link.Link, pending *link.Token) {
	t.Helper()
	_, table := fleetOf(map[string]int{"a": 4})
	set = table.Set("s")
	ejected = set.Links()[0]
	pending = ejected.Begin(time.Now(), link.Short)
	for range 3 {
		ejected.End(time.Now(), ejected.Begin(time.Now(), link.Short), link.ConnectionLost, nil)
	}
	assert.Equal(t, set.EjectedCount(), 1)
	time.Sleep(trialWait)
	return set, ejected, pending
}

// choicesOf returns how many of 200 choices fall on the link.
func choicesOf(t *testing.T, set *link.Set, wanted *link.Link) (n int) {
	t.Helper()
	for range 200 {
		chosen, err := set.Choose(time.Now(), link.Short, excludeNothing)
		assert.NilError(t, err)
		if chosen == wanted {
			n++
		}
	}
	return n
}

// chooseTrial chooses links until one choice falls on the ejected link, and begins the trial.
func chooseTrial(t *testing.T, set *link.Set, ejected *link.Link) *link.Token {
	t.Helper()
	for range 200 {
		chosen, err := set.Choose(time.Now(), link.Short, excludeNothing)
		assert.NilError(t, err)
		if chosen == ejected {
			return ejected.Begin(time.Now(), link.Short)
		}
	}
	t.Fatal("no trial")
	return nil
}

// Guards against requests that are lost to an ejected link as further trials while one is in flight: an attempt that was sent before
// the ejection and ends now is not the trial.
func TestOtherAttemptsDoNotEndATrial(t *testing.T) {
	for name, result := range map[string]link.Result{"cancelled": link.Cancelled, "lost": link.ConnectionLost, "timed out": link.TimedOut} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set, ejected, pending := ejectWithPending(t)
				trial := chooseTrial(t, set, ejected)
				ejected.End(time.Now(), pending, result, nil)
				time.Sleep(time.Second) // longer than the next back-off
				assert.Equal(t, choicesOf(t, set, ejected), 0)
				ejected.End(time.Now(), trial, link.Served, nil)
				assert.Equal(t, set.EjectedCount(), 0)
			})
		})
	}
}

// Guards against an ejected link that stays unused because its trial was cancelled, and against a trial that is not the last one and
// ends the reservation of the last.
func TestCancelledTrialMakesRoomForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set, ejected, _ := ejectWithPending(t)
		first := chooseTrial(t, set, ejected)
		time.Sleep(11 * time.Second) // the reservation of the first trial has ended
		second := chooseTrial(t, set, ejected)
		ejected.End(time.Now(), first, link.Cancelled, nil)
		assert.Equal(t, choicesOf(t, set, ejected), 0)
		ejected.End(time.Now(), second, link.Cancelled, nil)
		assert.Equal(t, choicesOf(t, set, ejected), 1)
	})
}
