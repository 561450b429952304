package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

const (
	// rollbackSlack is the time after the effect of a version was seen at a machine, until which requests that it receives
	// may be handled by an older version. It is disturbedRollbackSlack while the machine is disturbed.
	rollbackSlack          = 250 * time.Millisecond
	disturbedRollbackSlack = 8 * rollbackSlack
)

// decision is one handling of a request by a node, which only some versions of the contracts allow.
type decision struct {
	request  *request
	from, to time.Time // the node applied the contracts within this period
	allows   func(wire.Document) bool
	version  int // index of the oldest version that may have been applied
}

// decisionsOf returns the decisions about the request, as its caller and the back ends saw them.
func decisionsOf(r *request) []*decision {
	var out []*decision
	for _, a := range r.arrivals {
		if a.Ran {
			out = append(out, &decision{request: r, from: r.sent, to: a.At, allows: func(d wire.Document) bool {
				route, ok := d.Routes[r.route]
				return ok && route.Service == a.Service && admits(d, r)
			}})
		}
	}
	if r.status == http.StatusUnauthorized {
		out = append(out, &decision{request: r, from: r.sent, to: r.ended, allows: func(d wire.Document) bool { return !admits(d, r) }})
	}
	if r.status == 404 {
		out = append(out, &decision{request: r, from: r.sent, to: r.ended, allows: func(d wire.Document) bool {
			_, ok := d.Routes[r.route]
			return !ok
		}})
	}
	return out
}

// checkRollbacks checks that no node returns to an older version of the contracts while its process runs, whether or not
// the store or the node is disturbed.
func (o *oracle) checkRollbacks() {
	decisions := make(map[int][]*decision)
	for _, r := range o.requests {
		decisions[r.machine] = append(decisions[r.machine], decisionsOf(r)...)
	}
	for machine, starts := range o.starts {
		for i, start := range starts {
			end := time.Now()
			if i+1 < len(starts) {
				end = starts[i+1]
			}
			o.checkRollbacksOf(slices.DeleteFunc(slices.Clone(decisions[machine]), func(d *decision) bool {
				return d.from.Before(start) || d.to.After(end)
			}))
		}
	}
}

// checkRollbacksOf checks the decisions of one process. Each is at least of the version that the earlier ones prove.
func (o *oracle) checkRollbacksOf(decisions []*decision) {
	slices.SortFunc(decisions, func(a, b *decision) int { return a.from.Compare(b.from) })
	for i, d := range decisions {
		slack := disturbedRollbackSlack
		if o.stable(d.request.machine, d.from, d.to) {
			slack = rollbackSlack
		}
		inForce := 0
		for _, earlier := range decisions[:i] {
			if earlier.version > inForce && earlier.to.Add(slack+o.stall.within(earlier.from, d.from)).Before(d.from) {
				inForce = earlier.version
			}
		}
		oldest, newest, ok := o.versionsAllowing(d, inForce)
		if !ok {
			d.version = inForce
			continue // no version allows it, see checkContracts
		}
		if newest < inForce {
			o.violationf("CONFIG: %s was handled by version %d or older, %d was in force at node m%d before",
				d.request.id, o.versions[newest].document.Version, o.versions[inForce].document.Version, d.request.machine)
		}
		d.version = max(inForce, oldest)
	}
}

// versionsAllowing returns the oldest version from inForce on and the newest version of all that allow the decision.
func (o *oracle) versionsAllowing(d *decision, inForce int) (oldest, newest int, ok bool) {
	for i, v := range o.versions {
		if v.sent.After(d.to) {
			break
		}
		if !d.allows(v.document) {
			continue
		}
		if !ok || oldest < inForce {
			oldest = i
		}
		newest, ok = i, true
	}
	return oldest, newest, ok
}

// recordStart records that the node of a machine is about to be started.
func (o *oracle) recordStart(machine int, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts[machine] = append(o.starts[machine], at)
}

// Guards against an oracle that accepts an older version once the store or the node is disturbed, and against one that
// reports a process which starts with the older version.
func TestRollbackIsReported(t *testing.T) {
	for _, c := range []struct {
		name       string
		later      time.Duration // from the first request to the second, which only the older version allows
		restarted  bool
		violations int
	}{
		{"older version returns", 3 * time.Second, false, 1},
		{"requests overtake each other", 1500 * time.Millisecond, false, 0},
		{"node is started again", 3 * time.Second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now().Add(-time.Minute)
			o := newOracle(serviceOf, &stallDetector{})
			o.recordStart(0, start)
			for _, service := range services {
				v := publishedVersion{document: wire.Document{Routes: map[string]route{"moved": {Service: service}}}, sent: start, acked: start}
				o.recordVersion(v)
			}
			o.recordStoreDisturbance(span{start, start.Add(time.Minute)})
			o.recordDisturbance(0, span{start, start.Add(time.Minute)})
			for i, service := range []string{services[1], services[0]} {
				sent := start.Add(time.Second + time.Duration(i)*c.later)
				arrival := standin.ReceivedRequest{At: sent.Add(time.Millisecond), Service: service, Instance: "m0-1", Ran: true}
				r := &request{id: service, route: "moved", sent: sent, ended: arrival.At, arrivals: []standin.ReceivedRequest{arrival}}
				o.requests[r.id] = r
			}
			if c.restarted {
				o.recordStart(0, start.Add(2*time.Second))
			}
			assert.Equal(t, len(o.finish()), c.violations, "%q", o.violations)
		})
	}
}
