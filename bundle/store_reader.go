package bundle

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Keys of the store. A manifest's key has its root, because two operators who race for one version
// both write a manifest and neither may overwrite or block the other.
const (
	HeadKey        = "/bundle/head"
	manifestPrefix = "/bundle/manifest/"
	partPrefix     = "/bundle/part/"
	// listAbove is the number of missing parts above which one list of all parts costs the store
	// less than a read of each.
	listAbove = 16
)

func manifestKey(version uint64, root Hash) string {
	return fmt.Sprintf("%s%d/%s", manifestPrefix, version, root)
}

func partKey(hash Hash) string { return partPrefix + hash.String() }

// versionOfKey returns the version in the key of a manifest.
func versionOfKey(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, manifestPrefix), "/")
	version, err := strconv.ParseUint(text, 10, 64)
	return version, ok && err == nil
}

// StoreReader reads bundles from the store.
type StoreReader struct{ Store store.Store }

// Head returns the release that was rolled out last and the revision of its entry, or ErrNoRelease
// with revision 0.
func (s StoreReader) Head(ctx context.Context) (*Release, int64, error) {
	entry, err := s.Store.Get(ctx, HeadKey)
	if store.Is(err, store.ErrNotFound) {
		return nil, 0, ErrNoRelease.New("no bundle has been rolled out yet")
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := DecodeRelease(entry.Value)
	return r, entry.Revision, err
}

// Manifest returns the manifest of the release. The error is one of the store, store.ErrNotFound when
// the version is no longer kept, or one of DecodeManifest.
func (s StoreReader) Manifest(ctx context.Context, r *Release) (Manifest, error) {
	entry, err := s.Store.Get(ctx, manifestKey(r.Version, r.Root))
	if err != nil {
		return nil, err
	}
	return DecodeManifest(entry.Value)
}

// Parts returns the parts with the hashes, as far as the store has them.
func (s StoreReader) Parts(ctx context.Context, hashes []Hash) (map[Hash][]byte, error) {
	found := make(map[Hash][]byte, len(hashes))
	if len(hashes) <= listAbove {
		for _, hash := range hashes {
			entry, err := s.Store.Get(ctx, partKey(hash))
			if err != nil && !store.Is(err, store.ErrNotFound) {
				return nil, err
			}
			if err == nil {
				found[hash] = entry.Value
			}
		}
		return found, nil
	}
	entries, err := s.Store.List(ctx, partPrefix)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry.Value
	}
	for _, hash := range hashes {
		if part, ok := byKey[partKey(hash)]; ok {
			found[hash] = part
		}
	}
	return found, nil
}
