package peerhttp

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against metadata that is lost between nodes, and against malformed metadata that is accepted.
func TestCallMetadata(t *testing.T) {
	now := time.Now()
	text := encodeCall(&caller.Request{
		ID: "id 1", Service: "ledger", Route: "a&b", Class: "short", Key: "k=1&2", Fingerprint: 1 << 63,
		Deadline: now.Add(time.Second), Attempt: 2, Depth: 3, BundleVersion: 9,
	}, "n 1", 77, now)
	got, err := decodeCall(text)
	assert.NilError(t, err)
	assert.Equal(t, got, callMetadata{
		id: "id 1", service: "ledger", route: "a&b", class: "short", key: "k=1&2", from: "n 1", fingerprint: 1 << 63,
		timeLeft: time.Second - hopMargin, attempt: 2, depth: 3, bundleVersion: 9, incarnation: 77,
	})
	const valid = "1&id&sv&rt&cl&&n1&0&1000&1&0&1&7"
	_, err = decodeCall(valid)
	assert.NilError(t, err)
	for name, changed := range map[string]string{
		"empty":            "",
		"other version":    strings.Replace(valid, "1&", "2&", 1),
		"field missing":    strings.TrimSuffix(valid, "&7"),
		"field too many":   valid + "&8",
		"no service":       strings.Replace(valid, "&sv&", "&&", 1),
		"no sender":        strings.Replace(valid, "&n1&", "&&", 1),
		"long service":     strings.Replace(valid, "&sv&", "&"+strings.Repeat("s", 300)+"&", 1),
		"bad escape":       strings.Replace(valid, "&sv&", "&%zz&", 1),
		"deadline passed":  strings.Replace(valid, "&1000&", "&-1&", 1),
		"deadline too far": strings.Replace(valid, "&1000&", "&999999999999999&", 1),
		"attempts":         strings.Replace(valid, "&1000&1&", "&1000&1000&", 1),
		"depth":            strings.Replace(valid, "&1&0&1&", "&1&7&1&", 1),
	} {
		_, err := decodeCall(changed)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a placement that is lost between nodes, and against a malformed placement that is accepted.
func TestPlacementMetadata(t *testing.T) {
	placed := caller.Placement{Host: "a.example:80", Origin: "led&ger", Upstream: "i-1", Priority: 3, Objective: 400 * time.Millisecond, Long: true}
	got, err := decodePlacement(encodePlacement(&placed))
	assert.NilError(t, err)
	assert.Equal(t, *got, placed)
	none, err := decodePlacement("")
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	for name, text := range map[string]string{
		"field missing": "h&o&u&1&2", "field too many": "h&o&u&1&2&1&3", "no host": "&o&u&1&2&1", "no upstream": "h&o&&1&2&1",
		"priority": "h&o&u&-1&2&1", "objective": "h&o&u&1&999999999999999&1", "repeatable": "h&o&u&1&2&yes",
	} {
		_, err := decodePlacement(text)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a tenant that is lost between nodes, and against a tenant's part in the placement of a request without one: a node of an
// earlier version refuses it.
func TestTenantInPlacement(t *testing.T) {
	placed := caller.Placement{Host: "h", Upstream: "u", Priority: 1 << 20, Tenant: "a b&c=ü%"}
	got, err := decodePlacement(encodePlacement(&placed))
	assert.NilError(t, err)
	assert.Equal(t, *got, placed)
	placed.Tenant = ""
	assert.Equal(t, encodePlacement(&placed), "h&&u&1048576&0&0&0")
	for name, text := range map[string]string{
		"empty": "h&&u&1&0&0&0&", "two": "h&&u&1&0&0&0&a&b", "too long": "h&&u&1&0&0&0&" + strings.Repeat("a", 257), "bad escape": "h&&u&1&0&0&0&%zz",
	} {
		_, err := decodePlacement(text)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against what an upstream states in an answer and another node does not learn, or learns wrongly from a malformed field.
func TestNoticeBetweenNodes(t *testing.T) {
	limit := caller.RateLimit{Named: true, PerSecond: 0.2}
	for _, n := range []caller.Notice{{}, {Leaving: true, Born: 1 << 50}, {Limit: limit, Born: 7}, {Leaving: true, Limit: limit}} {
		assert.Equal(t, decodeNotice(encodeNotice(n)), n)
	}
	assert.Equal(t, encodeNotice(caller.Notice{Born: 7}), "", "most answers carry none")
	for _, odd := range []string{"", "true", "true&true&1", "true&true&NaN&1", "true&true&-1&1", "true&true&1&x", "2&true&1&1", "true&true&1&1&1"} {
		assert.Equal(t, decodeNotice(odd), caller.Notice{}, "%q", odd)
	}
}
