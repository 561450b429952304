package soak

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

const (
	requestLimit = 1500 * time.Millisecond
	objective    = 600 * time.Millisecond
	// rewritePause is the time between two attempts to write the last version again.
	rewritePause = 50 * time.Millisecond
)

// operator publishes versions of the platform's document. It is safe for concurrent use.
type operator struct {
	fleet *fleet

	mu       sync.Mutex
	document wire.Document
	zones    map[string]bool // zones that were ever evacuated, and whether they are now
	issued   int             // number of keys issued so far
	keys     atomic.Pointer[keyring]
}

func newOperator(f *fleet) *operator {
	route := func(name, kind, service string) wire.Route {
		return wire.Route{
			Host: host, PathPrefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMs: wire.Integer(requestLimit.Milliseconds()),
			TargetLatencyMs: wire.Integer(objective.Milliseconds()), Priority: 1, MaxAttempts: maxAttempts,
		}
	}
	o := &operator{fleet: f, document: wire.Document{
		Routes: map[string]wire.Route{
			"browse":  route("browse", wire.KindIdempotent, services[0]),
			"reserve": route("reserve", wire.KindNotIdempotent, services[1]),
			"manual":  route("manual", wire.KindDownload, services[0]),
			"moved":   route("moved", wire.KindIdempotent, services[0]),
			"extra":   route("extra", wire.KindNotIdempotent, services[1]),
		},
		Services: make(map[string]wire.Service),
		Limits:   wire.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}}
	for _, name := range services {
		o.document.Services[name] = wire.Service{HealthPath: standin.HealthPath, MaxConnections: 200, ColdPerS: f.parts.coldPerS}
	}
	o.zones = make(map[string]bool)
	o.addTenants(f.parts)
	return o
}

// publish writes the next version with the changes applied to its routes.
func (o *operator) publish(changes ...func(map[string]wire.Route)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.document
	next.Version++
	next.Routes = maps.Clone(next.Routes)
	for _, change := range changes {
		change(next.Routes)
	}
	_ = o.write(next) // on an error nothing was written
}

// write writes the document and records its version. The caller holds the lock.
func (o *operator) write(next wire.Document) error {
	p := publishedVersion{document: next, sent: time.Now()}
	if err := o.fleet.store.Publish(context.Background(), next); err != nil {
		return err
	}
	p.acked = time.Now()
	o.document = next
	o.fleet.oracle.recordVersion(p)
	return nil
}

// rewriteAfter writes the last version again after a return of the store from an older copy. Other versions wait
// meanwhile: the copy would lack them after they were acknowledged.
func (o *operator) rewriteAfter(copied time.Time, bringBack func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	from := time.Now()
	bringBack()
	for o.write(o.document) != nil {
		time.Sleep(rewritePause)
	}
	o.rewriteEvacuations()
	o.fleet.oracle.recordStoreDisturbance(span{from, time.Now()})
	returned := restore{copied, span{from, time.Now()}}
	o.fleet.oracle.record(func() { o.fleet.oracle.restores = append(o.fleet.oracle.restores, returned) })
}

// moveRoute switches the route "moved" to the other service.
func moveRoute(routes map[string]wire.Route) {
	r := routes["moved"]
	if r.Service == services[0] {
		r.Service = services[1]
	} else {
		r.Service = services[0]
	}
	routes["moved"] = r
}

// toggleRoute adds or removes the route "extra".
func toggleRoute(routes map[string]wire.Route) {
	if _, ok := routes["extra"]; ok {
		delete(routes, "extra")
		return
	}
	r := routes["reserve"]
	r.PathPrefix = "/extra/"
	routes["extra"] = r
}

// addRoute adds a route that no caller uses.
func addRoute(routes map[string]wire.Route) {
	r := routes["browse"]
	r.PathPrefix = fmt.Sprintf("/more-%d/", len(routes))
	routes[r.PathPrefix] = r
}
