package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// storeServer serves the store of a fleet at one address. Its server is replaced by one call at a time.
type storeServer struct {
	store   *standin.Store
	address string
	server  atomic.Pointer[http.Server]
	failing atomic.Bool // calls end without a response and have no effect
}

func startStoreServer(store *standin.Store, address string) (*storeServer, error) {
	s := &storeServer{store: store, address: address}
	return s, s.listen()
}

func (s *storeServer) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s}
	s.server.Store(server)
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed
	return nil
}

func (s *storeServer) close() { _ = s.server.Load().Close() }

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.failing.Load() {
		panic(http.ErrAbortHandler)
	}
	s.store.ServeHTTP(w, r)
}

// restoredStore is a store that is unavailable for a moment and returns from an older copy.
type restoredStore struct {
	age        time.Duration // from the copy to the moment at which the store becomes unavailable
	away       time.Duration
	closesAll  bool // all connections close, else open watches outlast the return
	thenChange bool // the operator changes the contracts right after the return
}

const (
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	// maxAway is the longest time for which a store that is restored is unavailable.
	maxAway = 2 * time.Second
)

func drawRestoredStore(draw uint64) restoredStore {
	random := rand.New(rand.NewPCG(draw, 0))
	return restoredStore{
		age:        minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge))),
		away:       time.Duration(random.Int64N(int64(maxAway))),
		closesAll:  random.IntN(2) == 0,
		thenChange: random.IntN(2) == 0,
	}
}

func (r restoredStore) String() string {
	return fmt.Sprintf("copy of %v before, away for %v, closes connections %t, then a change %t",
		r.age.Round(time.Millisecond), r.away.Round(time.Millisecond), r.closesAll, r.thenChange)
}

// restoreStore copies the store, and later restores that copy.
func (f *fleet) restoreStore(r restoredStore) {
	f.storeFaults.RLock()
	defer f.storeFaults.RUnlock()
	copied := time.Now()
	older := f.store.Memory.Copy()
	time.Sleep(r.age)
	f.operator.rewriteAfter(copied, func() { f.returnFrom(older, r) })
	if r.thenChange {
		f.operator.publish(moveRoute)
	}
}

// returnFrom makes the store unavailable for a moment and restores the copy before it is available again.
func (f *fleet) returnFrom(older kvstore.Copy, r restoredStore) {
	if !r.closesAll {
		f.server.failing.Store(true)
		time.Sleep(r.away)
		f.store.Memory.Restore(older)
		f.server.failing.Store(false)
		return
	}
	f.server.close()
	time.Sleep(r.away)
	f.store.Memory.Restore(older)
	if err := f.server.listen(); err != nil {
		f.t.Errorf("the store does not return: %v", err)
	}
}
