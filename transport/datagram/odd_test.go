package datagram

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

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
	for _, kind := range []byte{kindLoadQuery, kindLoadReply, kindStatus, kindNotice, kindStoreEra, kindDeparture, kindSuspects, kindRateLimit, kindQuotaAsk, kindQuotaTell, kindStop, 0, 255} {
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
