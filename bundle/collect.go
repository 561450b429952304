package bundle

import (
	"context"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// RetainedVersions is the number of latest versions whose manifests and parts are kept in the store.
	RetainedVersions = 32
	// cleanupIntervalVersions is the number of versions between two removals of old ones. A removal reads all
	// manifests and parts, which is too expensive for every rollout.
	cleanupIntervalVersions = 8
)

// removeOldVersions deletes all manifests but those of the latest versions, and the parts that no remaining manifest
// refers to. It must list the parts before the manifests; see Publisher.write.
func (p *Publisher) removeOldVersions(ctx context.Context, head *Release) error {
	parts, err := p.Store.List(ctx, partPrefix)
	if err != nil {
		return err
	}
	manifests, err := p.Store.List(ctx, manifestPrefix)
	if err != nil {
		return err
	}
	referenced := make(map[string]bool, len(parts))
	headFound := false
	var obsolete []store.Entry
	for _, entry := range manifests {
		version, ok := versionOfKey(entry.Key)
		if !ok {
			return ErrMalformed.New("store key %s is not a valid manifest key", entry.Key)
		}
		if version+RetainedVersions <= head.Version {
			obsolete = append(obsolete, entry)
			continue
		}
		m, err := DecodeManifest(entry.Value)
		if err != nil {
			return err
		}
		for _, listed := range m {
			referenced[partKey(listed.Part)] = true
		}
		headFound = headFound || entry.Key == manifestKey(head.Version, head.Root)
	}
	if !headFound {
		return ErrMalformed.New("the manifest of version %d is not in the store", head.Version)
	}
	for _, entry := range parts {
		if !referenced[entry.Key] {
			obsolete = append(obsolete, entry)
		}
	}
	return p.deleteEntries(ctx, obsolete)
}

// deleteEntries deletes the entries if their revision is unchanged. An entry that was written in the meantime is in use
// again and stays.
func (p *Publisher) deleteEntries(ctx context.Context, entries []store.Entry) error {
	for _, entry := range entries {
		err := p.Store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil && !store.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}
