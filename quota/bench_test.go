package quota_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/quota"
)

// generous replies to each request for tokens with many of them.
type generous struct{ node *quota.Node }

func (g *generous) SendQuotaRequest(to netip.AddrPort, r quota.Request) {
	g.node.HandleReply(to, quota.Reply{Number: r.Number, Tenant: r.Tenant, Granted: quota.MaxTokens, Valid: time.Hour, Allocator: true})
}
func (g *generous) SendQuotaReply(netip.AddrPort, quota.Reply) {}

func benchmarkAcquire(b *testing.B, tenants int) {
	now := time.Unix(1e9, 0)
	sender := &generous{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	names := make([]string, tenants)
	contracts := &contract.Contracts{Version: 1, Tenants: make(map[string]contract.Tenant)}
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i)
		contracts.Tenants[names[i]] = contract.Tenant{Name: names[i], Quota: contract.Quota{PerSecond: 1e6, Burst: 1e6}}
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := quota.NewNode(quota.Options{
		Name: "n", Addr: address(1), Sender: sender, Now: func() time.Time { return now }, AfterFunc: func(time.Duration, func()) {},
		OnSilent: func(netip.AddrPort) {}, Log: slog.New(slog.DiscardHandler),
	})
	sender.node = n
	n.Adopt(contracts)
	n.Tick([]quota.Member{{Name: "m", Addr: address(2), Reachable: true, Settled: true}}, true)
	runtime.GC()
	runtime.ReadMemStats(&after)
	ctx := b.Context()
	for _, name := range names {
		_, refusal := n.Acquire(ctx, name)
		assert.Assert(b, refusal == nil)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		token, refusal := n.Acquire(ctx, names[i])
		if refusal != nil {
			b.Fatal(refusal)
		}
		token.GiveBack()
		if i++; i == len(names) {
			i = 0
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tenants), "B/tenant")
	runtime.KeepAlive(contracts)
}
