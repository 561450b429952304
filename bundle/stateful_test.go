package bundle_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	fleetSize = 6
	// convergenceTime is the time after the last fault within which all nodes must have the same version. It
	// covers the longest backoff towards the store or a peer and several exchanges of versions.
	convergenceTime = 30 * time.Second
)

// step is one event of a run, drawn by rapid and executed in virtual time.
type step struct {
	Kind string
	Node int
	Arg  int
	Wait time.Duration
}

var stepGenerator = rapid.Custom(func(t *rapid.T) step {
	kinds := []string{"roll", "roll", "race", "store", "loss", "cut", "heal", "forge", "replay", "lie", "restart", "watchRole"}
	return step{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		Node: rapid.IntRange(0, fleetSize-1).Draw(t, "node"),
		Arg:  rapid.IntRange(0, 5).Draw(t, "arg"),
		Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

// run executes steps and records every approved version for the checks.
type run struct {
	*fleet
	t         *testing.T
	key       *bundle.SigningKey
	untrusted *bundle.SigningKey
	rollouts  sync.WaitGroup

	approvedMu sync.Mutex
	approved   map[bundle.Hash]uint64
	variants   int
}

// rollOut prepares the version after the head with new contents and rolls it out in the background.
func (r *run) rollOut() {
	r.approvedMu.Lock()
	r.variants++
	variant := r.variants
	r.approvedMu.Unlock()
	r.rollouts.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
		defer cancel()
		version := uint64(1)
		client := store.NewClient(r.memory, 1000, 1000)
		head, _, err := bundle.StoreReader{Store: client}.Head(ctx)
		if err == nil {
			version = head.Version + 1
		} else if !bundle.Is(err, bundle.ErrNoRelease) {
			return
		}
		prepared := approve(r.t, services(r.t, 3+variant%3, variant), version, r.key)
		r.approvedMu.Lock()
		r.approved[prepared.Root] = version
		r.approvedMu.Unlock()
		publisher := &bundle.Publisher{Store: client, TrustedKeys: r.trust}
		_, _, _ = publisher.RollOut(ctx, prepared)
	})
}

// forge returns a payload that every node must refuse.
func (r *run) forge(kind int) []byte {
	version := uint64(kind + 1)
	if head, _, err := (bundle.StoreReader{Store: r.memory}).Head(r.ctx); err == nil {
		version = head.Version + 1
	}
	forged := approve(r.t, services(r.t, 2, 500), version, r.untrusted).Release(nil)
	switch kind {
	case 1:
		forged.KeyID = r.key.Public.ID
	case 2:
		forged.Signature = nil
	case 3:
		signed := approve(r.t, services(r.t, 1, 501), version, r.key).Release(nil)
		forged.KeyID, forged.Signature = signed.KeyID, signed.Signature
	case 4:
		forged.Version = 1 << 60
	case 5:
		return []byte("not a release")
	}
	raw, err := forged.Encode()
	assert.NilError(r.t, err)
	return raw
}

func (r *run) execute(s step) {
	m := r.nodes[s.Node]
	switch s.Kind {
	case "roll":
		r.rollOut()
	case "race":
		r.rollOut()
		r.rollOut()
	case "store":
		r.memory.SetFaults([]kvstore.Faults{
			{}, {Down: true}, {DropResponses: true}, {DropEvents: true}, {SkipEvents: 2}, {Delay: 300 * time.Millisecond},
		}[s.Arg])
		r.memory.CloseWatches()
	case "loss":
		r.setLoss(float64(s.Arg) / 5)
	case "cut":
		m.update(func(m *testNode) { m.isolated = true })
	case "heal":
		m.update(func(m *testNode) { m.isolated = false })
	case "forge":
		m.HandleBroadcast(r.forge(s.Arg))
	case "replay":
		r.mu.Lock()
		broadcasts := r.broadcasts
		r.mu.Unlock()
		if len(broadcasts) > 0 {
			m.HandleBroadcast(broadcasts[s.Arg%len(broadcasts)])
		}
	case "lie":
		m.ObserveVersion(uint64(s.Arg)<<40, r.nodes[s.Arg].id)
	case "restart":
		r.restart(s.Node, m.watchRole.Watching())
	case "watchRole":
		m.watchRole.Set(!m.watchRole.Watching())
	}
	time.Sleep(s.Wait)
}

// runSteps executes the steps, ends all faults and returns the first violation.
func runSteps(t *testing.T, key, untrusted *bundle.SigningKey, seed uint64, steps []step) (violation error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &run{t: t, key: key, untrusted: untrusted, approved: make(map[bundle.Hash]uint64)}
		r.fleet = newFleet(ctx, fleetSize, bundle.TrustedKeys{key.Public}, seed)
		highest := make(map[*testNode]uint64)
		for i, s := range steps {
			r.execute(s)
			synctest.Wait()
			if violation = r.checkVersions(highest); violation != nil {
				violation = fmt.Errorf("after step %d: %w", i, violation)
				return
			}
		}
		r.memory.SetFaults(kvstore.Faults{})
		r.memory.CloseWatches()
		r.setLoss(0)
		for _, m := range r.nodes {
			m.update(func(m *testNode) { m.isolated = false })
		}
		r.nodes[0].watchRole.Set(true)
		r.rollouts.Wait()
		time.Sleep(convergenceTime)
		synctest.Wait()
		if violation = r.checkVersions(highest); violation == nil {
			violation = r.checkConverged()
		}
	})
	return violation
}

func (r *run) checkVersions(highest map[*testNode]uint64) error {
	r.approvedMu.Lock()
	defer r.approvedMu.Unlock()
	return r.checkBundles(r.approved, highest)
}

// checkConverged returns an error unless the head of the store is the current release of every node.
func (r *run) checkConverged() error {
	head, _, err := bundle.StoreReader{Store: r.memory}.Head(r.ctx)
	if bundle.Is(err, bundle.ErrNoRelease) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, m := range r.nodes {
		if current := m.Snapshot(); current == nil || current.Release.Version != head.Version || current.Release.Root != head.Root {
			return fmt.Errorf("node %s does not have version %d after the faults ended", m.id, head.Version)
		}
	}
	return nil
}

// Guards against a node that returns to an older version, takes contents that were not approved, or stays on an old
// version, under concurrent rollouts, store faults, message loss, partitions, forged and replayed releases and restarts.
func TestVersionsUnderFaults(t *testing.T) {
	key, untrusted := newKey(t), newKey(t)
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(stepGenerator, 1, 30).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := runSteps(t, key, untrusted, seed, steps); err != nil {
			rt.Fatal(err)
		}
	})
}
