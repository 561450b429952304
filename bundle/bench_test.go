package bundle_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// benchSizes are a tenth of the target, the target and four times the target.
var benchSizes = []int{37, 370, 1480}

// change returns version 1 in force and the encoded release 2, which changes one service.
func change(b *testing.B, size int) (held *bundle.Snapshot, raw []byte, trust bundle.Trust) {
	b.Helper()
	key := newKey(b)
	held = snapshot(b, approve(b, services(b, size, 0), 1, key))
	raw, err := approve(b, services(b, size, 1), 2, key).Release(held.Manifest).Encode()
	assert.NilError(b, err)
	return held, raw, bundle.Trust{key.Public}
}

// BenchmarkApply measures what one changed service costs a node: decode, verify, apply.
func BenchmarkApply(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			held, raw, trust := change(b, size)
			part, err := held.Parts([]bundle.Hash{held.Manifest[0].Part}, bundle.MaxPart)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				r, err := bundle.DecodeRelease(raw)
				assert.NilError(b, err)
				fresh, err := bundle.Admit(held, r, trust, time.Now())
				assert.NilError(b, err)
				manifest, whole := bundle.Next(held, r)
				assert.Assert(b, fresh && whole)
				_, err = bundle.Apply(held, r, manifest, r.Bodies())
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(raw)), "release-bytes")
			b.ReportMetric(float64(len(held.Manifest.Encode())), "manifest-bytes")
			b.ReportMetric(float64(len(part[0])), "part-bytes")
		})
	}
}

// BenchmarkVerify measures the check of a signature, which every release costs, also a forged one.
func BenchmarkVerify(b *testing.B) {
	_, raw, trust := change(b, 37)
	r, err := bundle.DecodeRelease(raw)
	assert.NilError(b, err)
	for b.Loop() {
		assert.NilError(b, r.Verify(trust, time.Now()))
	}
}

// BenchmarkApplyAll measures a node that starts: all parts are decoded and checked.
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

// BenchmarkMemory measures the heap that a bundle in force holds at a node.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			key := newKey(b)
			raw := approve(b, services(b, size, 0), 1, key)
			manifest := raw.Manifest.Encode()
			var held []*bundle.Snapshot
			before := heap()
			for b.Loop() {
				m, err := bundle.DecodeManifest(manifest)
				assert.NilError(b, err)
				next, err := bundle.Apply(nil, raw.Release(nil), m, partsOf(raw))
				assert.NilError(b, err)
				_, _, ok := next.Bundle.Resolve("service-0000.example", "/")
				assert.Assert(b, ok)
				held = append(held, next)
			}
			b.ReportMetric(float64(heap()-before)/float64(len(held)), "heap-bytes")
			runtime.KeepAlive(held)
			runtime.KeepAlive(raw)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
