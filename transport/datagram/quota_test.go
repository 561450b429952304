package datagram

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quota"
)

// Guards against messages on quotas that are changed by encoding and decoding, or whose senders are mixed up.
func TestQuotaMessagesArriveAsSent(t *testing.T) {
	a, _ := startSocket(t, 7, peer.Load{})
	b, fromA := startSocket(t, 9, peer.Load{})

	request := quota.Request{Number: 1 << 31, Tenant: "acme", Version: 1 << 60, Waiting: 3, Wanted: quota.MaxTokens}
	a.SendQuotaRequest(b.Addr(), request)
	assert.Equal(t, awaitValue(t, fromA.asked), request)
	assert.Equal(t, awaitValue(t, fromA.versions), request.Version)

	reply := quota.Reply{Number: 1 << 31, Tenant: "acme", Granted: 8, Valid: 500 * time.Millisecond, RetryAfter: 10 * time.Second, Allocator: true}
	a.SendQuotaReply(b.Addr(), reply)
	assert.Equal(t, awaitValue(t, fromA.told), reply)
	reply.Allocator, reply.Other = false, netip.MustParseAddrPort("10.9.8.7:65535")
	a.SendQuotaReply(b.Addr(), reply)
	assert.Equal(t, awaitValue(t, fromA.told), reply)

	a.SendOwnStop([]netip.AddrPort{b.Addr()}, 1<<62)
	assert.Equal(t, awaitValue(t, fromA.stopped), peer.StoppedRun{Addr: a.Addr(), Boot: 1 << 62})
	other := peer.StoppedRun{Addr: netip.MustParseAddrPort("10.9.8.7:65535"), Boot: 5}
	a.SendStops(b.Addr(), []peer.StoppedRun{other})
	assert.Equal(t, awaitValue(t, fromA.stopped), other)
}

// Guards against a caller that returns before its token because the delay is rounded down on the way.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	assert.Equal(t, clampMs(1), uint32(1))
	assert.Equal(t, clampMs(time.Millisecond+1), uint32(2))
	assert.Equal(t, clampMs(time.Hour), uint32(maxQuotaMs))
	assert.Equal(t, clampMs(-time.Hour), uint32(0))
}

// Guards against numbers of another node that are out of bounds and are used.
func TestOddQuotaMessagesAreDropped(t *testing.T) {
	s, r := startSocket(t, 1, peer.Load{})
	long := strings.Repeat("t", maxTextLength+1)
	for name, odd := range map[string]struct {
		kind    byte
		message any
	}{
		"request without a tenant":   {kindQuotaRequest, quotaRequest{Wanted: 1}},
		"request of a long tenant":   {kindQuotaRequest, quotaRequest{Wanted: 1, Tenant: long}},
		"request for too many":       {kindQuotaRequest, quotaRequest{Wanted: quota.MaxTokens + 1, Tenant: "t"}},
		"request with more waiting":  {kindQuotaRequest, quotaRequest{Waiting: 2, Wanted: 1, Tenant: "t"}},
		"reply without a tenant":     {kindQuotaReply, quotaReply{Granted: 1}},
		"reply for a long tenant":    {kindQuotaReply, quotaReply{Granted: 1, Tenant: long}},
		"reply with too many":        {kindQuotaReply, quotaReply{Granted: quota.MaxTokens + 1, Tenant: "t"}},
		"reply valid for too long":   {kindQuotaReply, quotaReply{ValidMs: maxQuotaMs + 1, Tenant: "t"}},
		"reply that delays too long": {kindQuotaReply, quotaReply{RetryAfterMs: maxQuotaMs + 1, Tenant: "t"}},
		"reply of two others":        {kindQuotaReply, quotaReply{Tenant: "t", Other: make([]byte, 2*addressSize)}},
		"stop of no run":             {kindStop, stop{}},
		"stop of half an address":    {kindStop, stop{Boot: 1, Address: []byte{10, 0, 0}}},
		"stop of two nodes":          {kindStop, stop{Boot: 1, Address: make([]byte, 2*addressSize)}},
	} {
		body, err := cbor.Marshal(odd.message)
		assert.NilError(t, err)
		before := invalidTotal.Get()
		s.receive(r, s.Addr(), append([]byte{odd.kind}, body...))
		assert.Equal(t, invalidTotal.Get(), before+1, "%s", name)
		assert.Equal(t, len(r.asked)+len(r.told)+len(r.stopped), 0, "%s: accepted", name)
	}
}

// Guards against messages on quotas of more than a few dozen bytes beside the name of the tenant: a node may send one per request.
func TestQuotaMessagesAreSmall(t *testing.T) {
	request, err := cbor.Marshal(quotaRequest{Number: 1 << 31, Tenant: "acme", ContractVersion: 300, Waiting: 1, Wanted: 40})
	assert.NilError(t, err)
	reply, err := cbor.Marshal(quotaReply{Number: 1 << 31, Tenant: "acme", Granted: 40, ValidMs: 500, RetryAfterMs: 900, Allocator: true})
	assert.NilError(t, err)
	t.Logf("request %d bytes, reply %d bytes", len(request)+1, len(reply)+1)
	assert.Assert(t, len(request) <= 20 && len(reply) <= 24, "%d and %d bytes", len(request), len(reply))
}
