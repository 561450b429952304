package datagram

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// Guards against a datagram that ends the process, takes up its memory or stops the socket from serving the next one.
func TestOddDatagramsAreDropped(t *testing.T) {
	bodies := map[string][]byte{
		"empty":                     nil,
		"arrays in arrays":          bytes.Repeat([]byte{0x81}, 1300),
		"endless arrays in arrays":  bytes.Repeat([]byte{0x9f}, 1300),
		"maps in maps":              bytes.Repeat([]byte{0xa1, 0x00}, 650),
		"tags in tags":              bytes.Repeat([]byte{0xc1}, 1300),
		"array of 2^64-1 items":     {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"array of 2^31 items":       {0x9a, 0x80, 0x00, 0x00, 0x00},
		"bytes of 2^64-1":           {0x81, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text of 2^63":              {0x81, 0x7b, 0x80, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00},
		"map where an array is":     {0xa0},
		"a number":                  {0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a float where a number is": {0x82, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0, 0x00},
		"trailing bytes":            {0x82, 0x01, 0x01, 0xff},
	}
	for _, kind := range []byte{kindLoadQuery, kindLoadReply, kindStatus, kindNotice, kindStoreEra, kindDeparture, kindSuspects, kindRateLimit, kindFreshnessQuery, kindFreshnessReply, kindEvacuations, kindQuotaRequest, kindQuotaReply, kindStop, kindProbe, 0, 255} {
		for name, body := range bodies {
			t.Run(fmt.Sprintf("%q %s", kind, name), func(t *testing.T) {
				s, r := startSocket(t, 1, peer.Load{})
				conn, err := net.Dial("udp4", s.Addr().String())
				assert.NilError(t, err)
				defer conn.Close()
				before := invalidTotal.Get()
				_, err = conn.Write(append([]byte{kind}, body...))
				assert.NilError(t, err)
				valid, err := cbor.Marshal(newStatusMessage(7, peer.StatusMessage{Status: peer.Status{Node: "n", Boot: 3, Address: "10.0.0.1:80"}}))
				assert.NilError(t, err)
				_, err = conn.Write(append([]byte{kindStatus}, valid...))
				assert.NilError(t, err)
				assert.Equal(t, awaitValue(t, r.heard).Status.Node, "n")
				assert.Check(t, invalidTotal.Get() > before, "the datagram was accepted")
			})
		}
	}
}

// Guards against a rate limit of another node that is no number, or would overflow, and is used.
func TestOddRateLimitsAreDropped(t *testing.T) {
	s, r := startSocket(t, 1, peer.Load{})
	for name, odd := range map[string]rateLimit{
		"no upstream":         {Named: true, PerSecond: 1},
		"long upstream":       {Named: true, PerSecond: 1, Upstream: string(make([]byte, maxTextLength+1))},
		"no number":           {Named: true, PerSecond: math.NaN(), Upstream: "u"},
		"endless":             {Named: true, PerSecond: math.Inf(1), Upstream: "u"},
		"negative":            {Named: true, PerSecond: -1, Upstream: "u"},
		"leaves no number":    {Named: true, PerSecond: 1, Available: math.NaN(), Upstream: "u"},
		"leaves without end":  {Named: true, PerSecond: 1, Available: math.Inf(-1), Upstream: "u"},
		"leaves far too many": {Named: true, PerSecond: 1, Available: 1e300, Upstream: "u"},
	} {
		body, err := cbor.Marshal(odd)
		assert.NilError(t, err)
		s.receive(r, s.Addr(), append([]byte{kindRateLimit}, body...))
		assert.Equal(t, len(r.limits), 0, "%s: accepted", name)
	}
}

// Guards against evacuations of another node that are out of range, or too many, and are used.
func TestOddEvacuationsAreDropped(t *testing.T) {
	s, r := startSocket(t, 1, peer.Load{})
	good := evacuation{Zone: "z", Active: true, Era: 1, Revision: 7}
	receive := func(message any) {
		body, err := cbor.Marshal(message)
		assert.NilError(t, err)
		s.receive(r, s.Addr(), append([]byte{kindEvacuations}, body...))
	}
	receive(evacuations{States: []evacuation{good}})
	assert.DeepEqual(t, awaitValue(t, r.evacuated), []peer.Evacuation{{Zone: "z", Active: true, Era: 1, Revision: 7}})
	for name, change := range map[string]func(*evacuation){
		"no zone": func(e *evacuation) { e.Zone = "" }, "long zone": func(e *evacuation) { e.Zone = string(make([]byte, maxTextLength+1)) },
		"negative era": func(e *evacuation) { e.Era = -1 }, "no revision": func(e *evacuation) { e.Revision = 0 }, "no text": func(e *evacuation) { e.Zone = "\xff" },
	} {
		odd := good
		change(&odd)
		receive(evacuations{States: []evacuation{good, odd}})
		assert.Equal(t, len(r.evacuated), 0, "%s: accepted", name)
	}
	receive(evacuations{})
	receive(evacuations{States: slices.Repeat([]evacuation{good}, maxEvacuations+1)})
	assert.Equal(t, len(r.evacuated), 0)
}

// Guards against states that do not fit into datagrams and are never sent.
func TestAllEvacuationsAreSent(t *testing.T) {
	a, _ := startSocket(t, 1, peer.Load{})
	b, fromA := startSocket(t, 1, peer.Load{})
	var sent []peer.Evacuation
	for i := range 20 {
		zone := strings.Repeat("x", maxTextLength-2) + fmt.Sprintf("%02d", i)
		sent = append(sent, peer.Evacuation{Zone: zone, Active: true, Era: math.MaxInt64, Revision: math.MaxInt64})
	}
	a.SendEvacuations(b.Addr(), sent)
	var got []peer.Evacuation
	for len(got) < len(sent) {
		got = append(got, awaitValue(t, fromA.evacuated)...)
	}
	slices.SortFunc(got, func(a, b peer.Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	assert.DeepEqual(t, got, sent)
}

// Guards against a status with values out of range that is used.
func TestOddStatusesAreDropped(t *testing.T) {
	s, r := startSocket(t, 1, peer.Load{})
	good := newStatusMessage(7, peer.StatusMessage{Status: peer.Status{Node: "n", Boot: 3, Address: "10.0.0.1:80"}})
	for name, change := range map[string]func(*statusMessage){
		"no node":          func(m *statusMessage) { m.Node = "" },
		"long node":        func(m *statusMessage) { m.Node = string(make([]byte, maxTextLength+1)) },
		"port 99999":       func(m *statusMessage) { m.Address = "10.0.0.1:99999" },
		"half an address":  func(m *statusMessage) { m.Addresses = []byte{10, 0, 0} },
		"too many of them": func(m *statusMessage) { m.Addresses = make([]byte, addressSize*(peer.MaxAddresses+1)) },
	} {
		odd := good
		change(&odd)
		body, err := cbor.Marshal(odd)
		assert.NilError(t, err)
		s.receive(r, s.Addr(), append([]byte{kindStatus}, body...))
		select {
		case heard := <-r.heard:
			t.Errorf("%s: accepted %+v", name, heard.Status)
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against the age of a proof that is out of range and is used: an age below 0 would make a proof younger than it is.
func TestOddFreshnessRepliesAreDropped(t *testing.T) {
	s, r := startSocket(t, 1, peer.Load{})
	s.OnFreshnessReply = func(reply freshness.Reply, _ netip.AddrPort) { t.Errorf("accepted %+v", reply) }
	for _, age := range []int64{-1, math.MinInt64, maxMilliseconds + 1, math.MaxInt64} {
		body, err := cbor.Marshal(freshnessReply{Number: 1, AgeMs: age})
		assert.NilError(t, err)
		before := invalidTotal.Get()
		s.receive(r, s.Addr(), append([]byte{kindFreshnessReply}, body...))
		assert.Assert(t, invalidTotal.Get() > before, "age %d", age)
	}
}
