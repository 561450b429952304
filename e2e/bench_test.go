package e2e

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	benchRate = 344 // calls per second that one node receives at the target scale
	benchSize = 2 << 10
)

// BenchmarkPaced measures the latency that the nodes add to a call when caller, nodes and upstream are separate
// processes. Calls to the upstream itself, to the node beside it and to another node alternate, each at the full
// rate.
func BenchmarkPaced(b *testing.B) {
	s := newEmptySystem(b)
	home, entry := s.startNode("home", "kgl-a"), s.startNode("entry", "kgl-a")
	s.startUpstream(home, "--service-time", "1ns", "--slots", "64")
	s.roll(1, "testdata/bundle.toml")
	s.awaitMembers(home, 1)
	s.awaitMembers(entry, 1)
	path := fmt.Sprintf("/x?size=%d", benchSize)
	urls := [3]string{
		"http://" + home.upstreamAddr.Addr + path, "http://" + home.addr.Callers + "/catalogue" + path,
		"http://" + entry.addr.Callers + "/catalogue" + path,
	}
	var histograms [3]*hdrhistogram.Histogram
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, 60_000_000, 3) // microseconds
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var lock sync.Mutex
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / (benchRate * 3))
	defer ticker.Stop()
	b.ResetTimer()
	for i := range b.N * 3 {
		<-ticker.C
		wait.Go(func() {
			took := timeCall(b, client, urls[i%3])
			lock.Lock()
			defer lock.Unlock()
			_ = histograms[i%3].RecordValue(took.Microseconds())
		})
	}
	wait.Wait()
	for _, quantile := range []float64{50, 99} {
		direct := histograms[0].ValueAtQuantile(quantile)
		b.ReportMetric(float64(direct), fmt.Sprintf("direct-p%g-us", quantile))
		b.ReportMetric(float64(histograms[1].ValueAtQuantile(quantile)-direct), fmt.Sprintf("home-added-p%g-us", quantile))
		b.ReportMetric(float64(histograms[2].ValueAtQuantile(quantile)-direct), fmt.Sprintf("entry-added-p%g-us", quantile))
	}
}

func timeCall(b *testing.B, client *http.Client, url string) time.Duration {
	began := time.Now()
	response, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != benchSize {
		b.Errorf("status %s, %d bytes, %v", response.Status, n, err)
	}
	return time.Since(began)
}
