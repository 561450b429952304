package cli

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

//go:embed demo.toml
var demoSource []byte

const (
	demoRegion       = "kigali"
	demoDrainNotice  = 500 * time.Millisecond
	demoStateTimeout = 30 * time.Second // bounds the wait for a state that takes seconds on an idle machine
)

// demoInstances lists the instances of the demo: each data centre has one upstream of each service.
var demoInstances = []struct{ dataCentre, service string }{
	{"kgl-a", "catalogue"}, {"kgl-a", "reservations"},
	{"kgl-b", "catalogue"}, {"kgl-b", "reservations"},
	{"kgl-c", "catalogue"}, {"kgl-c", "reservations"},
}

// demoFleet is a complete system in one process: the store, the nodes and the upstreams beside them.
type demoFleet struct {
	dir       string // directory of the signing key
	key       *bundle.SigningKey
	store     *devStore
	nodes     []*node.Node
	upstreams []*backend.Backend
	log       *slog.Logger

	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	runErr error
}

// startDemo starts the system. The caller must call stop, even after an error.
func startDemo(log io.Writer, level string) (*demoFleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &demoFleet{log: newLog(log, level), cancel: cancel}
	if err := f.startStore(); err != nil {
		return f, err
	}
	for i, in := range demoInstances {
		if err := f.startInstance(ctx, fmt.Sprintf("%s-%d", in.dataCentre, i%2+1), in.dataCentre, in.service); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *demoFleet) startStore() (err error) {
	if f.dir, err = os.MkdirTemp("", "magnoliawharf-demo-"); err != nil {
		return err
	}
	if f.key, err = bundle.GenerateKey(time.Time{}); err != nil {
		return err
	}
	if err = f.key.WriteFiles(filepath.Join(f.dir, "signer")); err != nil {
		return err
	}
	f.store, err = startStore("127.0.0.1:0")
	return err
}

func (f *demoFleet) startInstance(ctx context.Context, id, dataCentre, service string) error {
	s := settings.Default()
	s.ID, s.DataCentre, s.Region = id, dataCentre, demoRegion
	s.TrustedKeys = []string{filepath.Join(f.dir, "signer.pub")}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Local: "127.0.0.1:0"}
	s.Store.Endpoints = []string{f.store.Endpoint()}
	if len(f.nodes) > 0 {
		s.Seeds = []string{f.nodes[0].PeerAddr()}
	}
	s.Runtime.DrainNotice = settings.Duration(demoDrainNotice)
	n := &node.Node{Settings: s, Log: f.log}
	f.nodes = append(f.nodes, n)
	if err := n.Provision(); err != nil {
		return err
	}
	if err := n.Validate(); err != nil {
		return err
	}
	f.wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.runErr = errors.Join(f.runErr, fmt.Errorf("node %s: %w", id, err))
		}
	})
	up, err := backend.Start(backend.Options{Service: service, Node: n.LocalAddr(), Callers: n.CallerAddr()})
	if err == nil {
		f.upstreams = append(f.upstreams, up)
	}
	return err
}

// stop stops the nodes gracefully and returns their errors joined.
func (f *demoFleet) stop() error {
	f.cancel()
	f.wg.Wait()
	for _, up := range f.upstreams {
		up.Close()
	}
	for _, n := range f.nodes {
		f.runErr = errors.Join(f.runErr, n.Cleanup())
	}
	if f.store != nil {
		f.store.Close()
	}
	return errors.Join(f.runErr, os.RemoveAll(f.dir))
}

// ready blocks until every node has every upstream in the state ready.
func (f *demoFleet) ready(ctx context.Context) error {
	for _, n := range f.nodes {
		if err := awaitFleet(ctx, n.Fleet(), len(f.upstreams)); err != nil {
			return fmt.Errorf("node %s does not know all upstreams: %w", n.Settings.ID, err)
		}
	}
	return nil
}

// busiest returns the index of the upstream that runs the most requests.
func (f *demoFleet) busiest() int {
	found := 0
	for i, up := range f.upstreams {
		if up.InUse() > f.upstreams[found].InUse() {
			found = i
		}
	}
	return found
}

// awaitFleet blocks until the fleet has want instances in the state ready.
func awaitFleet(ctx context.Context, fleet *instance.Fleet, want int) error {
	changes, cancel := fleet.Subscribe()
	defer cancel()
	for {
		if len(fleet.Select(func(r instance.Record) bool { return r.State == instance.Ready })) == want {
			return nil
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// rollOut prepares, signs and rolls out source as the given version, and blocks until it is current at
// every node.
func (f *demoFleet) rollOut(ctx context.Context, source []byte, version uint64) error {
	contracts, err := bundle.Parse("demo.toml", source)
	if err != nil {
		return err
	}
	prepared, err := bundle.Prepare(contracts, version)
	if err != nil {
		return err
	}
	approved, err := bundle.Approve(prepared, f.key, time.Now())
	if err != nil {
		return err
	}
	client := kvhttp.NewClient(f.store.Endpoint(), kvhttp.DefaultTimeout)
	defer client.Close()
	publisher := &bundle.Publisher{Store: store.NewClient(client, 0, 0), TrustedKeys: bundle.TrustedKeys{f.key.Public}}
	if _, _, err := publisher.RollOut(ctx, approved); err != nil {
		return err
	}
	for _, n := range f.nodes {
		if err := awaitVersion(ctx, n.Bundles, version); err != nil {
			return fmt.Errorf("version %d is not in force at node %s: %w", version, n.Settings.ID, err)
		}
	}
	return nil
}

// awaitVersion blocks until the version, or a later one, is current.
func awaitVersion(ctx context.Context, bundles *bundle.Current, version uint64) error {
	for {
		changed := bundles.Changed()
		if current := bundles.Load(); current != nil && current.Version >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
