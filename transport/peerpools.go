package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const peerPoolShards = 16

// peerPools holds the kept connections to each peer in a pool of their own, so that those to a lost peer can be closed alone.
type peerPools struct {
	options    PoolOptions
	pools      *shard.Map[string, *peerPool] // by the address of the peer
	lastSweep  atomic.Int64                  // Unix time in ns
	lastClosed atomic.Int64                  // Unix time in ns at which the idle connections to all peers were closed last
}

// peerPool holds the kept connections to one peer.
type peerPool struct {
	*http.Transport
	lastUsed atomic.Int64 // Unix time in ns
	checking atomic.Bool  // a new connection to the peer is being tried
}

func newPeerPools(options PoolOptions) *peerPools {
	return &peerPools{options: options, pools: shard.NewString[string, *peerPool](peerPoolShards)}
}

// poolFor returns the pool for the peer at addr.
func (p *peerPools) poolFor(addr string, now time.Time) *peerPool {
	pool := p.pools.GetOrCreate(addr, func() *peerPool {
		return &peerPool{Transport: p.options.newTransport(p.connTimedOut)}
	})
	pool.lastUsed.Store(now.UnixNano())
	p.sweep(now)
	return pool
}

// sweep removes, once in each idle timeout, the pools that were not used for so long. They hold no idle connections; one that is
// still in use is closed an idle timeout after its request.
func (p *peerPools) sweep(now time.Time) {
	last, unusedSince := p.lastSweep.Load(), now.Add(-p.options.IdleTimeout).UnixNano()
	if last > unusedSince || !p.lastSweep.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	p.pools.Range(func(addr string, _ *peerPool) bool {
		p.pools.Update(addr, func(pool *peerPool, found bool) (*peerPool, bool) {
			return pool, found && pool.lastUsed.Load() > unusedSince
		})
		return true
	})
}

// connTimedOut is called when the kernel has closed a connection to addr since the peer acknowledged no packets. The idle
// connections to the peer are closed before a request is sent on one of them. Those to all peers are closed when the peer
// accepts a new connection: then not the peer is lost, but whatever silenced its connection may have silenced others.
func (p *peerPools) connTimedOut(addr string, openedAt time.Time) {
	ConnsTimedOut.Inc()
	if openedAt.UnixNano() < p.lastClosed.Load() {
		return // the connections that were idle with it are closed already
	}
	pool := p.poolFor(addr, time.Now())
	pool.CloseIdleConnections()
	if pool.checking.CompareAndSwap(false, true) {
		go func() {
			defer pool.checking.Store(false)
			if p.accepts(addr) {
				p.lastClosed.Store(time.Now().UnixNano())
				p.closeIdle()
			}
		}()
	}
}

// accepts reports whether the peer accepts a new connection.
func (p *peerPools) accepts(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, p.options.DialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (p *peerPools) closeIdle() {
	p.pools.Range(func(_ string, pool *peerPool) bool {
		pool.CloseIdleConnections()
		return true
	})
}

// newTransport returns a pool whose connections call onTimeout when they time out.
func (p PoolOptions) newTransport(onTimeout func(addr string, openedAt time.Time)) *http.Transport {
	dialer := sockopt.NewDialer(p.DialTimeout, p.UserTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			openedAt := time.Now()
			return &trackedConn{Conn: conn, onTimeout: func() { onTimeout(addr, openedAt) }, userTimeout: p.UserTimeout}, nil
		},
		MaxIdleConnsPerHost:    p.IdlePerHost,
		IdleConnTimeout:        p.IdleTimeout,
		MaxResponseHeaderBytes: int64(p.HeaderBytes),
		WriteBufferSize:        p.WriteBufferSize,
		ReadBufferSize:         p.ReadBufferSize,
		DisableCompression:     true,
	}
}
