package bundle_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

func newPublisher(memory *kvstore.Memory) *bundle.Publisher {
	return &bundle.Publisher{Store: store.NewClient(memory, 1000, 1000)}
}

// Guards against two concurrent rollouts of one version that both succeed, and against a failed one whose error does not
// give the published version.
func TestRacingOperators(t *testing.T) {
	memory, key := kvstore.NewMemory(), newKey(t)
	const operators = 8
	var group sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		approved := approve(t, services(t, 3, i), 1, key)
		group.Go(func() { _, _, errs[i] = newPublisher(memory).RollOut(context.Background(), approved) })
	}
	group.Wait()
	succeeded := 0
	for i, err := range errs {
		if err == nil {
			succeeded++
			head, _, err := bundle.StoreReader{Store: memory}.Head(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, head.Root, approve(t, services(t, 3, i), 1, key).Root)
			continue
		}
		assert.Assert(t, bundle.Is(err, bundle.ErrVersionTaken), "got %v", err)
		version, _ := bundle.VersionOf(err)
		assert.Equal(t, version, uint64(1))
	}
	assert.Equal(t, succeeded, 1)
}

// Guards against a rollout whose outcome is reported wrongly under store faults, and against one that cannot be
// repeated.
func TestRollUnderFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   kvstore.Faults
		duration time.Duration
		kind     *errorx.Type // error of the first attempt, nil for success
	}{
		{"healthy", kvstore.Faults{}, 0, nil},
		{"slow", kvstore.Faults{Delay: 300 * time.Millisecond}, time.Hour, nil},
		{"answers lost for a while", kvstore.Faults{DropResponses: true}, 40 * time.Millisecond, nil},
		{"requests lost for a while", kvstore.Faults{DropRequests: true}, 40 * time.Millisecond, nil},
		{"answers lost all the time", kvstore.Faults{DropResponses: true}, time.Hour, nil},
		{"requests lost all the time", kvstore.Faults{DropRequests: true}, time.Hour, store.ErrUncertain},
		{"down", kvstore.Faults{Down: true}, time.Hour, store.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory, key := kvstore.NewMemory(), newKey(t)
				first := approve(t, services(t, 3, 0), 1, key)
				_, _, err := newPublisher(memory).RollOut(t.Context(), first)
				assert.NilError(t, err)
				second := approve(t, services(t, 3, 1), 2, key)
				memory.SetFaults(c.faults)
				time.AfterFunc(c.duration, func() { memory.SetFaults(kvstore.Faults{}) })
				_, _, err = newPublisher(memory).RollOut(t.Context(), second)
				if c.kind == nil {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, store.Is(err, c.kind), "got %v", err)
				}
				memory.SetFaults(kvstore.Faults{})
				before := memory.Calls().Writes
				_, _, err = newPublisher(memory).RollOut(t.Context(), second)
				assert.NilError(t, err)
				if c.kind == nil {
					assert.Equal(t, memory.Calls().Writes, before, "a repeated rollout must not write")
				}
				checkStored(t, memory, second)
			})
		})
	}
}

// checkStored fails unless the head is the wanted bundle and everything that it refers to is in the store.
func checkStored(t *testing.T, memory *kvstore.Memory, want *bundle.Prepared) {
	t.Helper()
	reader := bundle.StoreReader{Store: memory}
	head, _, err := reader.Head(t.Context())
	assert.NilError(t, err)
	manifest, err := reader.Manifest(t.Context(), head)
	assert.NilError(t, err)
	parts, err := reader.Parts(t.Context(), bundle.MissingParts(nil, manifest, nil))
	assert.NilError(t, err)
	applied, err := bundle.Apply(nil, head, manifest, parts)
	assert.NilError(t, err)
	assert.Equal(t, applied.Release.Version, want.Version)
	assert.Equal(t, applied.Release.Root, want.Root)
}

// Guards against versions that are skipped, repeated with other contents, or rolled out unsigned or with an untrusted
// key.
func TestRollRefusals(t *testing.T) {
	memory, key := kvstore.NewMemory(), newKey(t)
	_, _, err := newPublisher(memory).RollOut(t.Context(), approve(t, services(t, 2, 0), 1, key))
	assert.NilError(t, err)
	unsigned, err := bundle.Prepare(services(t, 2, 1), 2)
	assert.NilError(t, err)
	restricted := newPublisher(memory)
	restricted.TrustedKeys = bundle.TrustedKeys{newKey(t).Public}
	cases := []struct {
		name      string
		publisher *bundle.Publisher
		prepared  *bundle.Prepared
		kind      *errorx.Type
	}{
		{"skipped", newPublisher(memory), approve(t, services(t, 2, 1), 3, key), bundle.ErrVersionSkipped},
		{"taken", newPublisher(memory), approve(t, services(t, 2, 1), 1, key), bundle.ErrVersionTaken},
		{"unsigned", newPublisher(memory), unsigned, bundle.ErrUnsigned},
		{"untrusted", restricted, approve(t, services(t, 2, 1), 2, key), bundle.ErrUntrustedKey},
	}
	for _, c := range cases {
		_, _, err := c.publisher.RollOut(t.Context(), c.prepared)
		assert.Assert(t, bundle.Is(err, c.kind), "%s: got %v", c.name, err)
	}
}

// Guards against a store that fills up with old versions, and against the removal of entries that are in use.
func TestOldVersionsAreRemoved(t *testing.T) {
	memory, key := kvstore.NewMemory(), newKey(t)
	var last *bundle.Prepared
	for version := range uint64(80) {
		last = approve(t, services(t, 3, int(version)), version+1, key)
		_, cleanupErr, err := newPublisher(memory).RollOut(t.Context(), last)
		assert.NilError(t, err)
		assert.NilError(t, cleanupErr)
	}
	checkStored(t, memory, last)
	manifests, err := memory.List(t.Context(), "/bundle/manifest/")
	assert.NilError(t, err)
	assert.Equal(t, len(manifests), bundle.RetainedVersions)
	parts, err := memory.List(t.Context(), "/bundle/part/")
	assert.NilError(t, err)
	assert.Equal(t, len(parts), bundle.RetainedVersions+2)
}

// restoringStore lets the store return from an older copy after some writes.
type restoringStore struct {
	*kvstore.Memory
	older  kvstore.Copy
	writes int // until the return
}

func (s *restoringStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	written, err := s.Memory.Swap(ctx, key, value, revision, lease)
	if s.writes--; s.writes == 0 {
		s.Restore(s.older)
	}
	return written, err
}

// Guards against a head that refers to a manifest or a part which the store has lost, because it has returned from an older
// copy during the rollout.
func TestRollOutEndsWithTheEra(t *testing.T) {
	memory, key := kvstore.NewMemory(), newKey(t)
	_, _, err := newPublisher(memory).RollOut(t.Context(), approve(t, services(t, 3, 0), 1, key))
	assert.NilError(t, err)
	second := approve(t, services(t, 3, 1), 2, key)
	publisher := &bundle.Publisher{Store: store.NewClient(&restoringStore{memory, memory.Copy(), 1}, 1000, 1000)}
	_, _, err = publisher.RollOut(t.Context(), second)
	assert.Assert(t, store.Is(err, store.ErrEraEnded), "got %v", err)
	reader := bundle.StoreReader{Store: memory}
	head, _, err := reader.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Version, uint64(1))

	head, _, err = publisher.RollOut(t.Context(), second)
	assert.NilError(t, err)
	assert.Equal(t, head.Version, uint64(2))
	_, err = reader.Manifest(t.Context(), head)
	assert.NilError(t, err)
}

// Guards against a rollout that reports success although the store has returned from an older copy without the manifest, which
// only the answer to the last write shows.
func TestRollOutIsUncertainWhenItsHeadIsOfALaterEra(t *testing.T) {
	memory, key := kvstore.NewMemory(), newKey(t)
	_, _, err := newPublisher(memory).RollOut(t.Context(), approve(t, services(t, 3, 0), 1, key))
	assert.NilError(t, err)
	const manifestAndPart = 2
	publisher := &bundle.Publisher{Store: store.NewClient(&restoringStore{memory, memory.Copy(), manifestAndPart}, 1000, 1000)}
	_, _, err = publisher.RollOut(t.Context(), approve(t, services(t, 3, 1), 2, key))
	assert.Assert(t, store.Is(err, store.ErrUncertain), "got %v", err)
}
