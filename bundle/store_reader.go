package bundle

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Store keys. The key of a manifest contains its root, because two operators who publish the same version concurrently
// both write a manifest and neither may overwrite or block the other.
const (
	HeadKey        = "/bundle/head"
	manifestPrefix = "/bundle/manifest/"
	partPrefix     = "/bundle/part/"
	// listThreshold is the number of parts above which listing all parts costs the store less than reading each
	// part separately.
	listThreshold = 16
)

func manifestKey(version uint64, root Hash) string {
	return fmt.Sprintf("%s%d/%s", manifestPrefix, version, root)
}

func partKey(hash Hash) string { return partPrefix + hash.String() }

// versionOfKey parses the version from the store key of a manifest.
func versionOfKey(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, manifestPrefix), "/")
	version, err := strconv.ParseUint(text, 10, 64)
	return version, ok && err == nil
}

// StoreReader reads releases, manifests and parts from the store.
type StoreReader struct{ Store store.Store }

// Head returns the latest published release and the revision of its store entry, or ErrNoRelease with revision 0.
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

// Manifest returns the manifest of the release. The error is one of the store, which is store.ErrNotFound when the
// version has been removed, or one of DecodeManifest.
func (s StoreReader) Manifest(ctx context.Context, r *Release) (Manifest, error) {
	entry, err := s.Store.Get(ctx, manifestKey(r.Version, r.Root))
	if err != nil {
		return nil, err
	}
	return DecodeManifest(entry.Value)
}

// Parts returns the parts with the given hashes. Parts that the store does not have are left out.
func (s StoreReader) Parts(ctx context.Context, hashes []Hash) (map[Hash][]byte, error) {
	found := make(map[Hash][]byte, len(hashes))
	if len(hashes) <= listThreshold {
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
