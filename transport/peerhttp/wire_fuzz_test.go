package peerhttp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Guards against metadata of another node that ends the process, or is accepted with values out of bounds.
func FuzzDecode(f *testing.F) {
	f.Add(encodePlacement(&caller.Placement{Host: "a.example", Origin: "s", Upstream: "u-1", Priority: 3, Objective: time.Second, Repeatable: true}))
	f.Add(encodePlacement(&caller.Placement{Host: "a.example", Upstream: "u-1", Tenant: "t 1"}))
	f.Add(encodeReport(link.Report{Slots: 12, InUse: 3, ServiceTime: time.Millisecond}))
	f.Add(encodeCall(&caller.Request{ID: "1", Service: "s", Route: "r", Class: "c", Key: "k", Attempt: 1, Deadline: time.Now().Add(time.Second)}, "n1", 7, time.Now()))
	f.Add(encodeWaited(time.Second))
	f.Add("&&&&&&&&&&&&")
	f.Add("%zz&1&2&-3&4&5&6")
	f.Fuzz(func(t *testing.T, text string) {
		if placement, err := decodePlacement(text); err == nil && placement != nil {
			assert.Check(t, placement.Objective >= 0 && placement.Priority >= 0 && placement.Host != "" && placement.Upstream != "")
		}
		if report, err := decodeReport(text); err == nil {
			assert.Check(t, report.Slots >= 0 && report.InUse >= 0 && report.ServiceTime >= 0)
		}
		if call, err := decodeCall(text); err == nil {
			assert.Check(t, call.timeLeft >= 0 && call.attempt >= 0 && call.depth <= caller.MaxDepth && call.id != "")
		}
		if waited, err := decodeWaited(text); err == nil {
			assert.Check(t, waited >= 0)
		}
	})
}
