package bundle_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// benchSizes are the numbers of services: a tenth of the target, the target and four times the target.
var benchSizes = []int{37, 370, 1480}

// releaseWithOneChange returns a snapshot of version 1 and the encoded release 2, which changes one service.
func releaseWithOneChange(b *testing.B, size int) (current *bundle.Snapshot, raw []byte, trust bundle.TrustedKeys) {
	b.Helper()
	key := newKey(b)
	current = snapshot(b, approve(b, services(b, size, 0), 1, key))
	raw, err := approve(b, services(b, size, 1), 2, key).Release(current.Manifest).Encode()
	assert.NilError(b, err)
	return current, raw, bundle.TrustedKeys{key.Public}
}

// BenchmarkApply measures the cost of one changed service at a node: decode, verify and apply.
func BenchmarkApply(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			current, raw, trust := releaseWithOneChange(b, size)
			part, err := current.Parts([]bundle.Hash{current.Manifest[0].Part}, bundle.MaxPartBytes)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				r, err := bundle.DecodeRelease(raw)
				assert.NilError(b, err)
				newer, err := bundle.Admit(current, r, trust, time.Now())
				assert.NilError(b, err)
				manifest, complete := bundle.NextManifest(current, r)
				assert.Assert(b, newer && complete)
				_, err = bundle.Apply(current, r, manifest, r.InlineParts())
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(raw)), "release-bytes")
			b.ReportMetric(float64(len(current.Manifest.Encode())), "manifest-bytes")
			b.ReportMetric(float64(len(part[0])), "part-bytes")
		})
	}
}

// BenchmarkVerify measures the signature check, the cost of every new release including forged ones.
func BenchmarkVerify(b *testing.B) {
	_, raw, trust := releaseWithOneChange(b, 37)
	r, err := bundle.DecodeRelease(raw)
	assert.NilError(b, err)
	for b.Loop() {
		assert.NilError(b, r.Verify(trust, time.Now()))
	}
}

// BenchmarkApplyAll measures the start of a node, which decodes and checks all parts.
func BenchmarkApplyAll(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			approved := approve(b, services(b, size, 0), 1, newKey(b))
			release, parts := approved.Release(nil), partsOf(approved)
			total := 0
			for _, part := range parts {
				total += len(part)
			}
			for b.Loop() {
				_, err := bundle.Apply(nil, release, approved.Manifest, parts)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(total), "parts-bytes")
		})
	}
}

// BenchmarkMemory measures the heap that the current bundle takes at a node.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			key := newKey(b)
			approved := approve(b, services(b, size, 0), 1, key)
			manifest := approved.Manifest.Encode()
			var snapshots []*bundle.Snapshot
			before := heapBytes()
			for b.Loop() {
				m, err := bundle.DecodeManifest(manifest)
				assert.NilError(b, err)
				next, err := bundle.Apply(nil, approved.Release(nil), m, partsOf(approved))
				assert.NilError(b, err)
				_, _, ok := next.Bundle.Resolve("service-0000.example", "/")
				assert.Assert(b, ok)
				snapshots = append(snapshots, next)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(snapshots)), "heap-bytes")
			runtime.KeepAlive(snapshots)
			runtime.KeepAlive(approved)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
