package policybench

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// outcome is the result of a request for its caller.
type outcome uint8

const (
	served outcome = iota
	failed         // the upstream responded with an error
	refused
	timedOut // no response before the deadline
)

func outcomeOf(result link.Result) outcome {
	if result == link.ServerError {
		return failed
	}
	return served
}

func outcomeOfRefusal(refusal *caller.Refusal) outcome {
	if refusal.Reason == caller.DeadlinePassed {
		return timedOut
	}
	return refused
}

// Outcomes holds the outcomes of the requests of one kind.
type Outcomes struct {
	Counts    [timedOut + 1]int
	Latencies []time.Duration // latencies of served requests
}

func (t *Outcomes) add(e outcome, took time.Duration) {
	t.Counts[e]++
	if e == served {
		t.Latencies = append(t.Latencies, took)
	}
}

// Merge adds the outcomes of another run.
func (t *Outcomes) Merge(other Outcomes) {
	for i := range t.Counts {
		t.Counts[i] += other.Counts[i]
	}
	t.Latencies = append(t.Latencies, other.Latencies...)
}

// Offered returns the number of requests.
func (t *Outcomes) Offered() (n int) {
	for _, count := range t.Counts {
		n += count
	}
	return n
}

// share returns the share of the requests with one of the outcomes.
func (t *Outcomes) share(outcomes ...outcome) float64 {
	n := 0
	for _, e := range outcomes {
		n += t.Counts[e]
	}
	return float64(n) / float64(max(1, t.Offered()))
}

// Unserved returns the share of the requests that were not served in time.
func (t *Outcomes) Unserved() float64 { return t.share(failed, refused, timedOut) }

// Quantile returns the latency at the quantile, given as a share, of the served requests.
func (t *Outcomes) Quantile(share float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	slices.Sort(t.Latencies)
	return t.Latencies[min(len(t.Latencies)-1, int(share*float64(len(t.Latencies))))]
}

// Result is the result of one or more runs of a policy.
type Result struct {
	Short, Long, Peak Outcomes // the last one holds the short requests sent during the peak
	NodeSeconds       float64
	Probes, Reports   int64
}

// Merge adds the result of another run.
func (r *Result) Merge(other Result) {
	r.Short.Merge(other.Short)
	r.Long.Merge(other.Long)
	r.Peak.Merge(other.Peak)
	r.NodeSeconds += other.NodeSeconds
	r.Probes += other.Probes
	r.Reports += other.Reports
}

// collector counts the outcomes of requests during a run. It is safe for concurrent use.
type collector struct {
	mu     sync.Mutex
	result Result
}

func (c *collector) add(class bundle.Class, duringPeak bool, e outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case class.Long:
		c.result.Long.add(e, took)
	default:
		c.result.Short.add(e, took)
		if duringPeak {
			c.result.Peak.add(e, took)
		}
	}
}

func (r *run) summary() Result {
	result := r.collected.result
	result.Probes, result.Reports = r.probes.Load(), r.reports.Load()
	result.NodeSeconds = float64(r.deployment.EntryNodes) * r.scenario.Length.Seconds()
	return result
}

const tableHeader = "| policy | short p50 | p99 | p99.9 | refused | late | failed | long p50 | p99 | refused or late | crest unserved | probes /node/s | control B /node/s |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// Row is the result of one policy in a table.
type Row struct {
	Policy string
	Result Result
}

// WriteTable writes the rows as a Markdown table. Times are in milliseconds.
func WriteTable(w io.Writer, rows []Row) error {
	_, err := io.WriteString(w, tableHeader)
	for _, row := range rows {
		r := &row.Result
		_, rowErr := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %.2f | %.0f |\n", row.Policy,
			milliseconds(r.Short.Quantile(0.5)), milliseconds(r.Short.Quantile(0.99)), milliseconds(r.Short.Quantile(0.999)),
			percent(r.Short.share(refused)), percent(r.Short.share(timedOut)), percent(r.Short.share(failed)),
			milliseconds(r.Long.Quantile(0.5)), milliseconds(r.Long.Quantile(0.99)), percent(r.Long.Unserved()),
			percent(r.Peak.Unserved()),
			float64(r.Probes)/r.NodeSeconds, (float64(r.Probes)*probeBytes+float64(r.Reports)*reportBytes)/r.NodeSeconds)
		err = errors.Join(err, rowErr)
	}
	return err
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }
