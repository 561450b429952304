package bundle

import (
	"context"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// KeepVersions is the number of versions whose manifests and parts stay in the store.
	KeepVersions = 32
	// collectEvery is the number of versions between two removals of old ones. A removal reads all
	// manifests and parts, which would be too much for each roll.
	collectEvery = 8
)

// collect removes manifests beyond the last KeepVersions and the parts that no remaining manifest
// refers to. Parts are listed before manifests; see Publisher.write.
func (p *Publisher) collect(ctx context.Context, head *Release) error {
	parts, err := p.Store.List(ctx, partPrefix)
	if err != nil {
		return err
	}
	manifests, err := p.Store.List(ctx, manifestPrefix)
	if err != nil {
		return err
	}
	kept := make(map[string]bool, len(parts))
	headSeen := false
	var old []store.Entry
	for _, entry := range manifests {
		version, ok := versionOfKey(entry.Key)
		if !ok {
			return ErrMalformed.New("key %s in the store is not one of a manifest", entry.Key)
		}
		if version+KeepVersions <= head.Version {
			old = append(old, entry)
			continue
		}
		m, err := DecodeManifest(entry.Value)
		if err != nil {
			return err
		}
		for _, member := range m {
			kept[partKey(member.Part)] = true
		}
		headSeen = headSeen || entry.Key == manifestKey(head.Version, head.Root)
	}
	if !headSeen {
		return ErrMalformed.New("the manifest of version %d is not in the store", head.Version)
	}
	for _, entry := range parts {
		if !kept[entry.Key] {
			old = append(old, entry)
		}
	}
	return p.remove(ctx, old)
}

// remove deletes the entries at the revisions at which they were read. One that was written since is
// in use again and stays.
func (p *Publisher) remove(ctx context.Context, entries []store.Entry) error {
	for _, entry := range entries {
		err := p.Store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil && !store.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}
