package bundle_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

func newKey(t testing.TB) *bundle.SigningKey {
	t.Helper()
	key, err := bundle.GenerateKey(time.Time{})
	assert.NilError(t, err)
	return key
}

// services returns the contracts of n services. The classes of service 0 depend on variant.
func services(t testing.TB, n, variant int) []*bundle.Contract {
	t.Helper()
	var source strings.Builder
	for i := range n {
		queue := 10
		if i == 0 {
			queue += variant
		}
		fmt.Fprintf(&source, `
[service.service-%04d]
hosts = ["service-%04d.example"]
[[service.service-%04d.class]]
name = "short"
priority = 0
max_queue = %d
max_wait = "500ms"
[[service.service-%04d.class]]
name = "long"
priority = 2
long = true
may_wait = true
max_wait = "30s"
[[service.service-%04d.route]]
name = "write"
method = "POST"
path_prefix = "/items"
class = "short"
rule = "at-most-once"
timeout = "10s"
[[service.service-%04d.route]]
name = "download"
method = "GET"
path_prefix = "/files/"
class = "long"
rule = "idempotent"
timeout = "10m"
[[service.service-%04d.route]]
name = "read"
method = "GET"
path_prefix = "/"
class = "short"
rule = "idempotent"
timeout = "2s"
`, i, i, i, queue, i, i, i, i)
	}
	contracts, err := bundle.Parse("services.toml", []byte(source.String()))
	assert.NilError(t, err)
	return contracts
}

func approve(t testing.TB, contracts []*bundle.Contract, version uint64, key *bundle.SigningKey) *bundle.Prepared {
	t.Helper()
	prepared, err := bundle.Prepare(contracts, version)
	assert.NilError(t, err)
	approved, err := bundle.Approve(prepared, key, time.Now())
	assert.NilError(t, err)
	return approved
}

func partsOf(p *bundle.Prepared) map[bundle.Hash][]byte {
	parts := make(map[bundle.Hash][]byte)
	for service, part := range p.Parts {
		hash, _ := p.Manifest.Part(service)
		parts[hash] = part
	}
	return parts
}

func snapshot(t testing.TB, p *bundle.Prepared) *bundle.Snapshot {
	t.Helper()
	applied, err := bundle.Apply(nil, p.Release(nil), p.Manifest, partsOf(p))
	assert.NilError(t, err)
	return applied
}

// Guards against accepting a release that is not signed by a trusted key or is not newer than the current one.
func TestAdmit(t *testing.T) {
	key, untrusted := newKey(t), newKey(t)
	expiring, err := bundle.GenerateKey(time.Now().Add(time.Minute))
	assert.NilError(t, err)
	trust := bundle.TrustedKeys{key.Public, expiring.Public}
	current := snapshot(t, approve(t, services(t, 3, 0), 5, key))
	release := func(version uint64, variant int, key *bundle.SigningKey) *bundle.Release {
		return approve(t, services(t, 3, variant), version, key).Release(current.Manifest)
	}
	modify := func(r *bundle.Release, change func(*bundle.Release)) *bundle.Release {
		change(r)
		return r
	}
	cases := []struct {
		name    string
		release *bundle.Release
		newer   bool
		kind    *errorx.Type
	}{
		{"newer", release(6, 1, key), true, nil},
		{"newer by many", release(60, 1, key), true, nil},
		{"in force", release(5, 0, key), false, nil},
		{"older", release(4, 1, key), false, bundle.ErrOlderVersion},
		{"in force with other contents", release(5, 1, key), false, bundle.ErrEquivocation},
		{"unsigned", modify(release(6, 1, key), func(r *bundle.Release) { r.Signature = nil }), false, bundle.ErrUnsigned},
		{"without key", modify(release(6, 1, key), func(r *bundle.Release) { r.KeyID = "" }), false, bundle.ErrUnsigned},
		{"key not trusted", release(6, 1, untrusted), false, bundle.ErrUntrustedKey},
		{"key claimed", modify(release(6, 1, untrusted), func(r *bundle.Release) { r.KeyID = key.Public.ID }), false, bundle.ErrBadSignature},
		{"version raised", modify(release(5, 0, key), func(r *bundle.Release) { r.Version = 7 }), false, bundle.ErrBadSignature},
		{"root changed", modify(release(6, 1, key), func(r *bundle.Release) { r.Root[0]++ }), false, bundle.ErrBadSignature},
		{"short signature", modify(release(6, 1, key), func(r *bundle.Release) { r.Signature = r.Signature[:10] }), false, bundle.ErrBadSignature},
		{"key expired", release(6, 1, expiring), false, bundle.ErrKeyExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			newer, err := bundle.Admit(current, c.release, trust, time.Now().Add(time.Hour))
			assert.Equal(t, newer, c.newer)
			if c.kind == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, bundle.Is(err, c.kind), "got %v", err)
		})
	}
}

// Guards against applying contents that the signed root does not cover.
func TestApply(t *testing.T) {
	key := newKey(t)
	first := approve(t, services(t, 4, 0), 1, key)
	current := snapshot(t, first)
	second := approve(t, services(t, 3, 1), 2, key) // service 0 changed, service 3 removed
	release := second.Release(current.Manifest)
	assert.Equal(t, len(release.Changes), 2)

	manifest, ok := bundle.NextManifest(current, release)
	assert.Assert(t, ok)
	next, err := bundle.Apply(current, release, manifest, release.InlineParts())
	assert.NilError(t, err)
	assert.Equal(t, next.Bundle.Version, uint64(2))
	assert.Equal(t, next.Bundle.Contracts["service-0000"].Classes[0].MaxQueue, 11)
	assert.Assert(t, next.Bundle.Contracts["service-0001"] == current.Bundle.Contracts["service-0001"], "unchanged contracts must be shared")
	_, found := next.Bundle.Contracts["service-0003"]
	assert.Assert(t, !found)

	_, err = bundle.Apply(current, release, manifest, nil)
	assert.Assert(t, bundle.Is(err, bundle.ErrMissingPart), "got %v", err)
	_, err = bundle.Apply(current, release, current.Manifest, release.InlineParts())
	assert.Assert(t, bundle.Is(err, bundle.ErrRootMismatch), "got %v", err)
	changed, _ := manifest.Part("service-0000")
	wrong := map[bundle.Hash][]byte{changed: first.Parts["service-0000"]}
	_, err = bundle.Apply(current, release, manifest, wrong)
	assert.Assert(t, bundle.Is(err, bundle.ErrMalformed), "got %v", err)
	release.Changes[0].Body = first.Parts["service-0000"]
	assert.Equal(t, len(release.InlineParts()), 0)
	release.Changes = release.Changes[1:]
	_, ok = bundle.NextManifest(current, release)
	assert.Assert(t, !ok)
}

// Guards against accepting a prepared file that was edited between approval and rollout.
func TestPreparedFile(t *testing.T) {
	approved := approve(t, services(t, 2, 0), 3, newKey(t))
	raw, err := approved.Encode()
	assert.NilError(t, err)
	decoded, err := bundle.DecodePrepared(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, approved)
	edited := strings.Replace(string(raw), `"max_queue":10`, `"max_queue":11`, 1)
	_, err = bundle.DecodePrepared([]byte(edited))
	assert.Assert(t, bundle.Is(err, bundle.ErrRootMismatch), "got %v", err)
	_, err = bundle.Prepare(services(t, 1, 0), 0)
	assert.Assert(t, bundle.Is(err, bundle.ErrVersionSkipped), "got %v", err)
}

// Guards against decoders that panic or accept an encoding that is not canonical.
func FuzzDecode(f *testing.F) {
	approved := approve(f, services(f, 2, 0), 3, newKey(f))
	release, err := approved.Release(nil).Encode()
	assert.NilError(f, err)
	f.Add(release)
	f.Add(approved.Manifest.Encode())
	f.Add(approved.Parts["service-0000"])
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := bundle.DecodeManifest(raw); err == nil {
			assert.DeepEqual(t, m.Encode(), raw)
		}
		if c, err := bundle.DecodePart(raw); err == nil {
			part, err := bundle.EncodePart(c)
			assert.NilError(t, err)
			assert.DeepEqual(t, part, raw)
		}
		r, err := bundle.DecodeRelease(raw)
		if err != nil {
			return
		}
		if manifest, ok := bundle.NextManifest(nil, r); ok {
			_, _ = bundle.Apply(nil, r, manifest, r.InlineParts())
		}
	})
}
