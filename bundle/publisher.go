package bundle

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// writeTries bounds the tries at one part or manifest when another operator writes it as well.
const writeTries = 5

// Publisher rolls approved bundles out through the store. Give it a store.Client, which settles
// uncertain writes.
type Publisher struct {
	Store store.Store
	Trust Trust // when given, a bundle that nodes would refuse is not rolled out
}

// Roll makes the approved bundle the one in force: it writes the manifest and the changed parts and
// then swaps the head. Of two operators who race for a version one wins; the other gets
// ErrVersionTaken with the version that won. A roll may be repeated after a crash or an uncertain
// end: it succeeds when the head already has its version and root. collectErr is the failure of the
// removal of old versions, which does not affect the roll.
func (p *Publisher) Roll(ctx context.Context, approved *Prepared) (rolled *Release, collectErr, err error) {
	reader := StoreReader{p.Store}
	head, revision, err := reader.Head(ctx)
	if err != nil && !Is(err, ErrNoRelease) {
		return nil, nil, err
	}
	if err := p.admit(head, approved); err != nil {
		return nil, nil, err
	}
	if head.same(approved) {
		return head, nil, nil
	}
	var base Manifest
	if head != nil {
		base, err = reader.Manifest(ctx, head)
		if err != nil && !store.Is(err, store.ErrNotFound) {
			return nil, nil, err
		}
	}
	release := approved.Release(base)
	if err := p.write(ctx, approved, base); err != nil {
		return nil, nil, err
	}
	if err := p.swapHead(ctx, release, revision); err != nil {
		return p.settle(ctx, approved, err)
	}
	if release.Version%collectEvery == 0 {
		collectErr = p.collect(ctx, release)
	}
	return release, collectErr, nil
}

// same reports whether the head is the approved bundle.
func (r *Release) same(p *Prepared) bool {
	return r != nil && r.Version == p.Version && r.Root == p.Root
}

// admit checks that the bundle is signed and follows the head, or is the head.
func (p *Publisher) admit(head *Release, approved *Prepared) error {
	if len(approved.Signature) == 0 {
		return ErrUnsigned.New("version %d is not approved", approved.Version)
	}
	if len(p.Trust) > 0 {
		if err := approved.Release(nil).Verify(p.Trust, time.Now()); err != nil {
			return err
		}
	}
	current := uint64(0)
	if head != nil {
		current = head.Version
	}
	switch {
	case head.same(approved), approved.Version == current+1:
		return nil
	case approved.Version > current:
		return ErrVersionSkipped.New("version %d cannot follow version %d, which is in force", approved.Version, current).
			WithProperty(propertyVersion, current)
	}
	return taken(approved.Version, current)
}

func taken(version, current uint64) error {
	return ErrVersionTaken.New("version %d was taken by another roll; version %d is in force", version, current).
		WithProperty(propertyVersion, current)
}

// write puts the manifest and then the changed parts into the store. The manifest comes first and
// every changed part is written anew, also when it is there already: the removal of old parts reads
// parts before manifests and deletes by revision, so it cannot remove a part that a roll has begun to
// refer to.
func (p *Publisher) write(ctx context.Context, approved *Prepared, base Manifest) error {
	if err := p.put(ctx, manifestKey(approved.Version, approved.Root), approved.Manifest.Encode()); err != nil {
		return err
	}
	for _, change := range base.Changes(approved.Manifest) {
		if change.Part == (Hash{}) {
			continue
		}
		if err := p.put(ctx, partKey(change.Part), approved.Parts[change.Service]); err != nil {
			return err
		}
	}
	return nil
}

// put writes a value whose key is determined by its content.
func (p *Publisher) put(ctx context.Context, key string, value []byte) error {
	var err error
	for range writeTries {
		held, readErr := p.Store.Get(ctx, key)
		if readErr != nil && !store.Is(readErr, store.ErrNotFound) {
			return readErr
		}
		if _, err = p.Store.Swap(ctx, key, value, held.Revision, 0); !store.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

func (p *Publisher) swapHead(ctx context.Context, release *Release, revision int64) error {
	raw, err := release.Encode()
	if err != nil {
		return err
	}
	_, err = p.Store.Swap(ctx, HeadKey, raw, revision, 0)
	return err
}

// settle decides the end of a roll whose swap of the head failed or is uncertain.
func (p *Publisher) settle(ctx context.Context, approved *Prepared, cause error) (rolled *Release, collectErr, err error) {
	if !store.Is(cause, store.ErrConflict) && !store.Is(cause, store.ErrUncertain) {
		return nil, nil, cause
	}
	head, _, err := StoreReader{p.Store}.Head(ctx)
	switch {
	case err != nil:
		return nil, nil, cause
	case head.same(approved):
		return head, nil, nil
	case head.Version == approved.Version, head.Version > approved.Version && store.Is(cause, store.ErrConflict):
		// Versions follow one another, so a head with this version and another root was never ours.
		return nil, nil, taken(approved.Version, head.Version)
	}
	return nil, nil, cause
}
