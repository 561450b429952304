package peerhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
)

// fixedProxy answers every forwarded request immediately with a fixed answer.
type fixedProxy struct{}

func (fixedProxy) Serve(context.Context, *caller.Request, uint64) (*caller.Answer, error) {
	return &caller.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

func (fixedProxy) Report() link.Report { return link.Report{State: instance.Ready, Slots: 12} }

// BenchmarkConnectionMemory measures the memory of one open connection between two nodes: heap and stacks of
// both ends together, which is the cost for a node with as many outgoing as incoming connections.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, count := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(connectionMemory(b, count))/float64(count), "B/connection")
			}
		})
	}
}

func connectionMemory(b *testing.B, count int) int64 {
	b.Helper()
	peers := make([]string, count)
	for i := range peers {
		peers[i] = startPeer(b, fmt.Sprintf("127.0.%d.%d:0", 1+i/200, 1+i%200))
	}
	client := peerhttp.NewClient("n1", nil)
	defer client.Close()
	before := memoryInUse()
	for _, peer := range peers {
		req := newRequest(caller.NewBody(nil, 0))
		req.Deadline = time.Now().Add(time.Minute)
		answer, _, err := client.Forward(context.Background(), req, instance.Record{ID: "n2", PeerAddr: peer})
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(b, err)
		assert.NilError(b, answer.Body.Close())
	}
	return memoryInUse() - before
}

func startPeer(b *testing.B, addr string) string {
	b.Helper()
	listener, err := net.Listen("tcp", addr)
	assert.NilError(b, err)
	server := &http.Server{Handler: &peerhttp.Server{Proxy: fixedProxy{}}, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
