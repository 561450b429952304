package node_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

var (
	downloadBytes = flag.Int64("download-bytes", 64<<20, "size of the answer in TestDownloadMemory")
	gcPercent     = flag.Int("gc-percent", settings.DefaultGCPercent, "GC percent of the benchmarks")
)

const (
	callRate          = 344 // calls/s that arrive at one node at the target scale
	answerSize        = 2 << 10
	concurrentCallers = 8 // concurrent callers of the closed loop
)

// bench holds the URLs of an upstream and of two nodes. Calls to direct go straight to the upstream,
// those to oneHop through the node beside it, and those to twoHops through another node first.
type bench struct {
	direct, oneHop, twoHops string
	client                  *http.Client
}

func newBench(tb testing.TB) bench {
	tb.Helper()
	answer := make([]byte, answerSize)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}))
	tb.Cleanup(up.Close)
	bundles := testBundle()
	upstreamNode := startNode(tb, &node.Node{Settings: testSettings(tb, "home"), Bundles: bundles})
	entryNode := startNode(tb, &node.Node{Settings: testSettings(tb, "entry", upstreamNode.PeerAddr()), Bundles: bundles})
	stop := make(chan struct{})
	tb.Cleanup(func() { close(stop) })
	go announceUntil(stop, upstreamNode.Node, up.Listener.Addr().String())
	waitForState(tb, upstreamNode.Fleet(), "home", instance.Ready)
	waitForState(tb, entryNode.Fleet(), "home", instance.Ready)
	return bench{
		direct: up.URL + "/x", oneHop: "http://" + upstreamNode.CallerAddr() + "/catalogue/x",
		twoHops: "http://" + entryNode.CallerAddr() + "/catalogue/x",
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// announceUntil announces the upstream at addr to the node until stop is closed.
func announceUntil(stop <-chan struct{}, n *node.Node, addr string) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		n.Announce(time.Now(), upstream.Announcement{
			Service: "catalogue", Addr: addr, State: instance.Ready, Slots: 64, TimeToLive: 2 * time.Second,
		})
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (b bench) call(tb testing.TB, url string) time.Duration {
	return b.send(tb, http.MethodGet, url, nil)
}

func (b bench) send(tb testing.TB, method, url string, body []byte) time.Duration {
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		tb.Error(err)
		return 0
	}
	began := time.Now()
	response, err := b.client.Do(request)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != answerSize {
		tb.Errorf("status %s, %d bytes, %v", response.Status, n, err)
	}
	return time.Since(began)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) } // microseconds

// reportAddedLatency reports the difference of the quantiles as metrics of the benchmark.
func reportAddedLatency(b *testing.B, name string, direct, throughNode *hdrhistogram.Histogram) {
	for _, quantile := range []float64{50, 99} {
		added := throughNode.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
		b.ReportMetric(float64(added), fmt.Sprintf("%s-added-p%g-us", name, quantile))
	}
}

// BenchmarkPaced measures the latency that the nodes add to a call at the target rate of one node. Direct
// calls, calls over one hop and calls over two hops alternate, each at the full rate.
func BenchmarkPaced(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(*gcPercent))
	set := newBench(b)
	urls := [3]string{set.direct, set.oneHop, set.twoHops}
	var histograms [3]*hdrhistogram.Histogram
	var locks [3]sync.Mutex
	for i := range histograms {
		histograms[i] = newHistogram()
		set.call(b, urls[i])
	}
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / (callRate * 3))
	defer ticker.Stop()
	b.ResetTimer()
	for i := range b.N * 3 {
		<-ticker.C
		wait.Go(func() {
			took := set.call(b, urls[i%3])
			locks[i%3].Lock()
			defer locks[i%3].Unlock()
			_ = histograms[i%3].RecordValue(took.Microseconds())
		})
	}
	wait.Wait()
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "direct-p99-us")
	reportAddedLatency(b, "home", histograms[0], histograms[1])
	reportAddedLatency(b, "entry", histograms[0], histograms[2])
}

// BenchmarkClosedLoop measures the latency and the allocations of calls in a closed loop. Allocations are
// those of the whole process, including caller and upstream; subtract those of the direct call to get the
// share of the nodes.
func BenchmarkClosedLoop(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(*gcPercent))
	set := newBench(b)
	for _, c := range []struct {
		name, method, url string
		body              []byte
	}{
		{"direct", http.MethodGet, set.direct, nil},
		{"home", http.MethodGet, set.oneHop, nil},
		{"entry", http.MethodGet, set.twoHops, nil},
		{"direct-post", http.MethodPost, set.direct, make([]byte, 1<<10)},
		{"entry-post", http.MethodPost, set.twoHops, make([]byte, 1<<10)},
	} {
		b.Run(c.name, func(b *testing.B) {
			set.call(b, c.url)
			histogram := newHistogram()
			var lock sync.Mutex
			var wait sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for first := range concurrentCallers {
				wait.Go(func() {
					for i := first; i < b.N; i += concurrentCallers {
						took := set.send(b, c.method, c.url, c.body)
						lock.Lock()
						_ = histogram.RecordValue(took.Microseconds())
						lock.Unlock()
					}
				})
			}
			wait.Wait()
			b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// Guards against a download that is buffered in memory instead of streamed.
func TestDownloadMemory(t *testing.T) {
	const maxGrowth = 16 << 20 // bytes; the copy buffers of both hops and garbage not yet collected
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	two := startNode(t, &node.Node{Settings: testSettings(t, "n2", n.PeerAddr()), Bundles: n.Bundles})
	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
	waitForState(t, two.Fleet(), "n1", instance.Ready)
	before := heapBytes()
	response, err := http.Get(fmt.Sprintf("http://%s/catalogue/video?size=%d", two.CallerAddr(), *downloadBytes))
	assert.NilError(t, err)
	defer response.Body.Close()
	var read int64
	var peak uint64
	buffer := make([]byte, 1<<20)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		read += int64(n)
		peak = max(peak, heapBytes())
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		assert.NilError(t, err)
	}
	growth := int64(peak) - int64(before)
	t.Logf("heap growth during a download of %d bytes over two hops: %d bytes", *downloadBytes, growth)
	assert.Equal(t, read, *downloadBytes)
	assert.Assert(t, growth < maxGrowth, "heap grew by %d bytes", growth)
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
