package sidecar

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/quota"
)

// AcquireToken asks the node for a token of the tenant, as its dispatcher does.
func AcquireToken(ctx context.Context, s *Sidecar, tenant string) (quota.Token, *caller.Refusal) {
	return s.quota.Acquire(ctx, tenant)
}

// Guards against a node that allocates while it knows only some of the others, and against one that waits without end because new
// members keep coming.
func TestMembersSettleAfterAStart(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	unlisted, listed := make(chan struct{}), make(chan struct{})
	close(listed)

	alone := settling{known: unlisted}
	assert.Assert(t, !alone.done(at(0), 0, 0))
	assert.Assert(t, !alone.done(at(60_000), 5, 0), "named by nobody and heard of nobody")

	single := settling{known: listed}
	assert.Assert(t, !single.done(at(0), 0, 0))
	assert.Assert(t, !single.done(at(900), 0, 0))
	assert.Assert(t, single.done(at(1000), 0, 0))

	heard := settling{known: unlisted}
	assert.Assert(t, !heard.done(at(0), 1, 1))
	assert.Assert(t, !heard.done(at(800), 5, 3))
	assert.Assert(t, !heard.done(at(1200), 5, 5), "a new member came 400 ms ago")
	assert.Assert(t, heard.done(at(1300), 5, 5))

	growing := settling{known: listed}
	for ms := 0; ms < 3000; ms += 100 {
		assert.Assert(t, !growing.done(at(ms), ms, 1))
	}
	assert.Assert(t, growing.done(at(3000), 3000, 1))
}

// Guards against a suspension that goes unnoticed, and against one that is seen where only time has passed.
func TestSuspensionIsNoticed(t *testing.T) {
	assert.Assert(t, !suspended(100*time.Millisecond, 100*time.Millisecond))
	assert.Assert(t, !suspended(time.Hour, time.Hour), "frozen, with a clock that went on")
	assert.Assert(t, !suspended(-time.Hour, 100*time.Millisecond), "time of day set back")
	assert.Assert(t, !suspended(150*time.Millisecond, 100*time.Millisecond), "time of day corrected")
	assert.Assert(t, suspended(3*time.Second, 100*time.Millisecond))
}
