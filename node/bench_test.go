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
	callRate   = 344 // calls/s that arrive at one node at the target scale
	answerSize = 2 << 10
	loops      = 8 // concurrent callers of the closed loop
)

// bench is an upstream with two nodes: calls enter at the entry node and, unless it is the home
// node itself, take the second hop.
type bench struct {
	direct, home, entry string
	client              *http.Client
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
	home := startNode(tb, &node.Node{Settings: testSettings(tb, "home"), Bundles: bundles})
	entry := startNode(tb, &node.Node{Settings: testSettings(tb, "entry", home.PeerAddr()), Bundles: bundles})
	stop := make(chan struct{})
	tb.Cleanup(func() { close(stop) })
	go announceUntil(stop, home.Node, up.Listener.Addr().String())
	awaitState(tb, home.Fleet(), "home", instance.Ready)
	awaitState(tb, entry.Fleet(), "home", instance.Ready)
	return bench{
		direct: up.URL + "/x", home: "http://" + home.CallerAddr() + "/catalogue/x",
		entry:  "http://" + entry.CallerAddr() + "/catalogue/x",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

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

func reportAdded(b *testing.B, name string, direct, product *hdrhistogram.Histogram) {
	for _, quantile := range []float64{50, 99} {
		added := product.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
		b.ReportMetric(float64(added), fmt.Sprintf("%s-added-p%g-us", name, quantile))
	}
}

// BenchmarkPaced measures the added time of one call at the target rate of one node. A call direct,
// one over the short cut and one over both hops take turns, each at the full rate.
func BenchmarkPaced(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(*gcPercent))
	set := newBench(b)
	urls := [3]string{set.direct, set.home, set.entry}
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
	reportAdded(b, "home", histograms[0], histograms[1])
	reportAdded(b, "entry", histograms[0], histograms[2])
}

// BenchmarkClosedLoop measures the time and the allocations of calls that follow one another without a
// pause. Allocations are those of the whole process, caller and upstream included; the direct call
// gives the part that is not the product's.
func BenchmarkClosedLoop(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(*gcPercent))
	set := newBench(b)
	for _, c := range []struct {
		name, method, url string
		body              []byte
	}{
		{"direct", http.MethodGet, set.direct, nil},
		{"home", http.MethodGet, set.home, nil},
		{"entry", http.MethodGet, set.entry, nil},
		{"direct-post", http.MethodPost, set.direct, make([]byte, 1<<10)},
		{"entry-post", http.MethodPost, set.entry, make([]byte, 1<<10)},
	} {
		b.Run(c.name, func(b *testing.B) {
			set.call(b, c.url)
			histogram := newHistogram()
			var lock sync.Mutex
			var wait sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for loop := range loops {
				wait.Go(func() {
					for i := loop; i < b.N; i += loops {
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

// Guards against a download that is kept in memory instead of streamed.
func TestDownloadMemory(t *testing.T) {
	const mostGrowth = 16 << 20 // bytes; the copy buffers of both hops and what awaits collection
	n := startNode(t, &node.Node{Settings: testSettings(t, "n1"), Bundles: testBundle()})
	two := startNode(t, &node.Node{Settings: testSettings(t, "n2", n.PeerAddr()), Bundles: n.Bundles})
	startBackend(t, backend.Options{Service: "catalogue", Node: n.LocalAddr()})
	awaitState(t, two.Fleet(), "n1", instance.Ready)
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
	assert.Assert(t, growth < mostGrowth, "heap grew by %d bytes", growth)
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
