package soak

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// Guards against an oracle that accepts what the checks of tenants, cold rates, evacuations and answers are there to report, and against
// one that reports what they allow: a request sent within the bound, or one through a node that was not in touch.
func TestSignsOfParts(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	const withdrawnKey, validKey = standin.KeyPrefix + "t0-1", standin.KeyPrefix + "t1-2"
	document := func(version int64, keys ...string) wire.Document {
		return wire.Document{
			Version: wire.Integer(version), Routes: map[string]route{"browse": {Service: services[0]}, publicRoute: {Service: services[0], Public: true}},
			Tenants: map[string]wire.Tenant{"t0": {APIKeys: keys}, "t1": {APIKeys: []string{validKey}}},
		}
	}
	for _, c := range []struct {
		name    string
		sent    float64 // seconds after the start; the key is withdrawn and zone z1 evacuated at 10 s
		key     string
		route   string
		tenant  string
		machine int // of the back end
		count   int // number of equal requests
		prepare func(*oracle, *request)
		signs   []string
	}{
		{name: "valid", sent: 30, key: validKey, tenant: "t1"},
		{name: "withdrawn within the bound", sent: 14.9, key: withdrawnKey, tenant: "t0", prepare: disturbAll(start)},
		{name: "withdrawn beyond the bound", sent: 15.1, key: withdrawnKey, tenant: "t0", prepare: disturbAll(start), signs: []string{"REVOKED"}},
		{name: "withdrawn, node settled", sent: 13, key: withdrawnKey, tenant: "t0", signs: []string{"ROUTE"}},
		{name: "withdrawn by a version that the store lost", sent: 22, key: withdrawnKey, tenant: "t0", prepare: func(o *oracle, r *request) {
			disturbAll(start)(o, r)
			o.restores = []restore{{copied: at(9), span: span{at(18), at(20)}}}
		}},
		{name: "withdrawn by a version that the copy had", sent: 22, key: withdrawnKey, tenant: "t0", prepare: func(o *oracle, r *request) {
			disturbAll(start)(o, r)
			o.restores = []restore{{copied: at(11), span: span{at(18), at(20)}}}
		}, signs: []string{"REVOKED"}},
		{name: "no key", sent: 30, signs: []string{"REVOKED", "ROUTE"}},
		{name: "no key on a public route", sent: 30, route: publicRoute},
		{name: "other tenant", sent: 30, key: validKey, tenant: "t0", signs: []string{"TENANT"}},
		{name: "forged tenant on a public route", sent: 30, route: publicRoute, tenant: "t0", signs: []string{"TENANT"}},
		{name: "evacuated", sent: 15.1, key: validKey, tenant: "t1", machine: 1, signs: []string{"EVACUATED"}},
		{name: "evacuated, not yet in force", sent: 14.8, key: validKey, tenant: "t1", machine: 1},
		{name: "evacuated, nodes out of touch", sent: 15.1, key: validKey, tenant: "t1", machine: 1, prepare: disturbAll(start)},
		{name: "cold within the rate", sent: 30, key: validKey, tenant: "t1", count: 29},
		{name: "cold beyond the rate", sent: 30, key: validKey, tenant: "t1", count: 30, signs: []string{"COLD"}},
		{name: "invalid status", sent: 30, key: validKey, tenant: "t1", prepare: func(_ *oracle, r *request) { r.invalid = true }, signs: []string{"INVALID"}},
		{name: "invalid answer", sent: 30, key: validKey, tenant: "t1", prepare: func(_ *oracle, r *request) {
			r.err = errors.New("net/http: malformed HTTP status code")
		}, signs: []string{"INVALID"}},
		{name: "valid key refused", sent: 30, key: validKey, tenant: "t1", prepare: func(_ *oracle, r *request) { r.status = 401 }, signs: []string{"CONFIG"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(serviceOf, &stallDetector{})
			o.recordVersion(publishedVersion{document: document(1, withdrawnKey), sent: start, acked: start})
			o.recordVersion(publishedVersion{document: document(2), sent: at(10), acked: at(10)})
			o.evacuations = []namedSpan{{"z1", span{at(10), at(20)}}}
			o.cold = []namedSpan{{"m0-1", span{at(29), at(32)}}}
			for i := range max(1, c.count) {
				r := &request{id: fmt.Sprint(i), route: "browse", key: c.key, sent: at(c.sent), limit: requestLimit}
				if c.route != "" {
					r.route = c.route
				}
				if c.prepare != nil {
					c.prepare(o, r)
				}
				o.requests[r.id] = r
				o.recordArrival(standin.ReceivedRequest{
					At: r.sent.Add(10 * time.Millisecond), ID: r.id, Service: services[0], Origin: services[0], Tenant: c.tenant, Ran: true,
					Instance: fmt.Sprintf("m%d-1", c.machine),
				})
				o.recordEnd(r, r.sent.Add(20*time.Millisecond), func() {})
			}
			var signs []string
			for _, violation := range o.finish() {
				sign, _, _ := strings.Cut(violation, ":")
				signs = append(signs, sign)
			}
			slices.Sort(signs)
			assert.DeepEqual(t, slices.Compact(signs), c.signs)
		})
	}
}

// disturbAll disturbs all machines for a minute.
func disturbAll(from time.Time) func(*oracle, *request) {
	return func(o *oracle, _ *request) {
		for machine := range machineCount {
			o.recordDisturbance(machine, span{from, from.Add(time.Minute)})
		}
	}
}
