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
	// settle is the time after the last fault in which all nodes must agree: the longest back-off
	// towards the store or a peer, and a few exchanges.
	settle = 30 * time.Second
)

// step is one event of a run, drawn by rapid and carried out in virtual time.
type step struct {
	Kind string
	Node int
	Arg  int
	Wait time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	kinds := []string{"roll", "roll", "race", "store", "loss", "cut", "heal", "forge", "replay", "lie", "restart", "watchRole"}
	return step{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		Node: rapid.IntRange(0, fleetSize-1).Draw(t, "node"),
		Arg:  rapid.IntRange(0, 5).Draw(t, "arg"),
		Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

// run carries out steps against the oracle.
type run struct {
	*fleet
	t        *testing.T
	key      *bundle.SigningKey
	stranger *bundle.SigningKey
	rolls    sync.WaitGroup

	oracle   sync.Mutex
	approved map[bundle.Hash]uint64
	variants int
}

// roll prepares the version after the head with new contents and rolls it out.
func (r *run) roll() {
	r.oracle.Lock()
	r.variants++
	variant := r.variants
	r.oracle.Unlock()
	r.rolls.Go(func() {
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
		r.oracle.Lock()
		r.approved[prepared.Root] = version
		r.oracle.Unlock()
		operator := &bundle.Publisher{Store: client, Trust: r.trust}
		_, _, _ = operator.Roll(ctx, prepared)
	})
}

// forge returns a release that no node may take.
func (r *run) forge(kind int) []byte {
	version := uint64(kind + 1)
	if head, _, err := (bundle.StoreReader{Store: r.memory}).Head(r.ctx); err == nil {
		version = head.Version + 1
	}
	forged := approve(r.t, services(r.t, 2, 500), version, r.stranger).Release(nil)
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

func (r *run) do(s step) {
	m := r.nodes[s.Node]
	switch s.Kind {
	case "roll":
		r.roll()
	case "race":
		r.roll()
		r.roll()
	case "store":
		r.memory.SetFaults([]kvstore.Faults{
			{}, {Down: true}, {LoseAnswers: true}, {MuteWatches: true}, {SkipWatches: 2}, {Delay: 300 * time.Millisecond},
		}[s.Arg])
		r.memory.BreakWatches()
	case "loss":
		r.setLoss(float64(s.Arg) / 5)
	case "cut":
		m.set(func(m *member) { m.cut = true })
	case "heal":
		m.set(func(m *member) { m.cut = false })
	case "forge":
		m.Received(r.forge(s.Arg))
	case "replay":
		r.mu.Lock()
		sent := r.sent
		r.mu.Unlock()
		if len(sent) > 0 {
			m.Received(sent[s.Arg%len(sent)])
		}
	case "lie":
		m.Seen(uint64(s.Arg)<<40, r.nodes[s.Arg].id)
	case "restart":
		r.restart(s.Node, m.watchRole.Watching())
	case "watchRole":
		m.watchRole.Set(!m.watchRole.Watching())
	}
	time.Sleep(s.Wait)
}

// play carries out the steps, ends all faults and returns the first breach.
func play(t *testing.T, key, stranger *bundle.SigningKey, seed uint64, plan []step) (breach error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &run{t: t, key: key, stranger: stranger, approved: make(map[bundle.Hash]uint64)}
		r.fleet = newFleet(ctx, fleetSize, bundle.Trust{key.Public}, seed)
		highest := make(map[*member]uint64)
		for i, s := range plan {
			r.do(s)
			synctest.Wait()
			if breach = r.compare(highest); breach != nil {
				breach = fmt.Errorf("after step %d: %w", i, breach)
				return
			}
		}
		r.memory.SetFaults(kvstore.Faults{})
		r.memory.BreakWatches()
		r.setLoss(0)
		for _, m := range r.nodes {
			m.set(func(m *member) { m.cut = false })
		}
		r.nodes[0].watchRole.Set(true)
		r.rolls.Wait()
		time.Sleep(settle)
		synctest.Wait()
		if breach = r.compare(highest); breach == nil {
			breach = r.agree()
		}
	})
	return breach
}

func (r *run) compare(highest map[*member]uint64) error {
	r.oracle.Lock()
	defer r.oracle.Unlock()
	return r.check(r.approved, highest)
}

// agree fails unless every node has the head of the store in force.
func (r *run) agree() error {
	head, _, err := bundle.StoreReader{Store: r.memory}.Head(r.ctx)
	if bundle.Is(err, bundle.ErrNoRelease) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, m := range r.nodes {
		if held := m.Snapshot(); held == nil || held.Release.Version != head.Version || held.Release.Root != head.Root {
			return fmt.Errorf("node %s does not have version %d in force after the faults", m.id, head.Version)
		}
	}
	return nil
}

// Guards against a version that goes back, contents that nobody approved, and nodes that stay behind,
// under racing operators, store faults, loss, partitions, forged and replayed releases and restarts.
func TestVersionsUnderFaults(t *testing.T) {
	key, stranger := newKey(t), newKey(t)
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(steps, 1, 30).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := play(t, key, stranger, seed, plan); err != nil {
			rt.Fatal(err)
		}
	})
}
