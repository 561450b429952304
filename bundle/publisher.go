package bundle

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// maxWriteAttempts limits the attempts to write a part or manifest that another operator writes concurrently.
const maxWriteAttempts = 5

// Publisher rolls out approved bundles through the store. Store should be a store.Client, which resolves writes whose
// outcome is uncertain.
type Publisher struct {
	Store       store.Store
	TrustedKeys TrustedKeys // when set, only bundles signed by one of these keys are rolled out
}

// RollOut publishes the approved bundle: it writes the manifest and the changed parts and then replaces the head by a
// compare-and-swap. When two operators publish the same version concurrently, one succeeds and the other gets
// ErrVersionTaken with the version of the head. RollOut may be repeated after a crash or an uncertain outcome: it succeeds
// without writing when the head already has the version and root. cleanupErr is a failure to remove old versions, which
// does not affect the rollout. When the store returns from an older copy meanwhile, what was written may be lost: the error is then
// store.ErrEraEnded, or store.ErrUncertain when the head may refer to it.
func (p *Publisher) RollOut(ctx context.Context, approved *Prepared) (published *Release, cleanupErr, err error) {
	era := p.Store.Era()
	p = &Publisher{Store: store.Within(p.Store, era), TrustedKeys: p.TrustedKeys}
	reader := StoreReader{p.Store}
	head, revision, err := reader.Head(ctx)
	if err != nil && !Is(err, ErrNoRelease) {
		return nil, nil, err
	}
	if err := p.checkApproved(head, approved); err != nil {
		return nil, nil, err
	}
	if head.matches(approved) {
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
		if era.Ended() {
			return nil, nil, err
		}
		return p.resolveSwapError(ctx, approved, err)
	}
	if release.Version%cleanupIntervalVersions == 0 {
		cleanupErr = p.removeOldVersions(ctx, release)
	}
	return release, cleanupErr, nil
}

// matches reports whether the release has the version and root of the bundle. It is false for a nil release.
func (r *Release) matches(p *Prepared) bool {
	return r != nil && r.Version == p.Version && r.Root == p.Root
}

// checkApproved checks that the bundle is signed and that it directly follows the head or is the head.
func (p *Publisher) checkApproved(head *Release, approved *Prepared) error {
	if len(approved.Signature) == 0 {
		return ErrUnsigned.New("version %d is not approved", approved.Version)
	}
	if len(p.TrustedKeys) > 0 {
		if err := approved.Release(nil).Verify(p.TrustedKeys, time.Now()); err != nil {
			return err
		}
	}
	current := uint64(0)
	if head != nil {
		current = head.Version
	}
	switch {
	case head.matches(approved), approved.Version == current+1:
		return nil
	case approved.Version > current:
		return ErrVersionSkipped.New("version %d cannot follow version %d, which is in force", approved.Version, current).
			WithProperty(propertyVersion, current)
	}
	return versionTakenError(approved.Version, current)
}

func versionTakenError(version, current uint64) error {
	return ErrVersionTaken.New("version %d was already published by another rollout; version %d is in force", version, current).
		WithProperty(propertyVersion, current)
}

// write stores the manifest and then the changed parts. The manifest must come first and every changed part is written
// again even when the store has it: removeOldVersions lists parts before manifests and deletes by revision, so it
// cannot delete a part that a concurrent rollout has begun to refer to.
func (p *Publisher) write(ctx context.Context, approved *Prepared, base Manifest) error {
	if err := p.put(ctx, manifestKey(approved.Version, approved.Root), approved.Manifest.Encode()); err != nil {
		return err
	}
	for _, change := range base.Diff(approved.Manifest) {
		if change.Part == (Hash{}) {
			continue
		}
		if err := p.put(ctx, partKey(change.Part), approved.Parts[change.Service]); err != nil {
			return err
		}
	}
	return nil
}

// put writes a value whose key is derived from its content, so that concurrent writers store the same value.
func (p *Publisher) put(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxWriteAttempts {
		existing, readErr := p.Store.Get(ctx, key)
		if readErr != nil && !store.Is(readErr, store.ErrNotFound) {
			return readErr
		}
		if _, err = p.Store.Swap(ctx, key, value, existing.Revision, 0); !store.Is(err, store.ErrConflict) {
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

// resolveSwapError reads the head to determine the outcome of a rollout whose swap of the head failed or is uncertain.
func (p *Publisher) resolveSwapError(ctx context.Context, approved *Prepared, cause error) (published *Release, cleanupErr, err error) {
	if !store.Is(cause, store.ErrConflict) && !store.Is(cause, store.ErrUncertain) {
		return nil, nil, cause
	}
	head, _, err := StoreReader{p.Store}.Head(ctx)
	switch {
	case err != nil:
		return nil, nil, cause
	case head.matches(approved):
		return head, nil, nil
	case head.Version == approved.Version, head.Version > approved.Version && store.Is(cause, store.ErrConflict):
		// Versions are consecutive, so a head with this version and another root means that this swap did not
		// take effect.
		return nil, nil, versionTakenError(approved.Version, head.Version)
	}
	return nil, nil, cause
}
