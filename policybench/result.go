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

// ending is how a request ended for its caller.
type ending uint8

const (
	served ending = iota
	failed        // answered with an error of the upstream
	refused
	late // no answer before the deadline
)

func endOf(result link.Result) ending {
	if result == link.ServerError {
		return failed
	}
	return served
}

func lost(refusal *caller.Refusal) ending {
	if refusal.Reason == caller.DeadlinePassed {
		return late
	}
	return refused
}

// Tally holds the ends of the requests of one kind.
type Tally struct {
	Ends  [late + 1]int
	Times []time.Duration // of served requests
}

func (t *Tally) add(e ending, took time.Duration) {
	t.Ends[e]++
	if e == served {
		t.Times = append(t.Times, took)
	}
}

// Merge adds the ends of another run.
func (t *Tally) Merge(other Tally) {
	for i := range t.Ends {
		t.Ends[i] += other.Ends[i]
	}
	t.Times = append(t.Times, other.Times...)
}

// Offered returns the number of requests.
func (t *Tally) Offered() (n int) {
	for _, count := range t.Ends {
		n += count
	}
	return n
}

// Share returns the share of the requests that ended in one of the ways.
func (t *Tally) share(ends ...ending) float64 {
	n := 0
	for _, e := range ends {
		n += t.Ends[e]
	}
	return float64(n) / float64(max(1, t.Offered()))
}

// Unserved returns the share of the requests without a good answer in time.
func (t *Tally) Unserved() float64 { return t.share(failed, refused, late) }

// Quantile returns the latency that the share of the served requests did not exceed.
func (t *Tally) Quantile(share float64) time.Duration {
	if len(t.Times) == 0 {
		return 0
	}
	slices.Sort(t.Times)
	return t.Times[min(len(t.Times)-1, int(share*float64(len(t.Times))))]
}

// Result is the outcome of one or more runs of a policy.
type Result struct {
	Short, Long, Crest Tally // Crest holds the short requests of the crest
	NodeSeconds        float64
	Probes, Reports    int64
}

// Merge adds the outcome of another run.
func (r *Result) Merge(other Result) {
	r.Short.Merge(other.Short)
	r.Long.Merge(other.Long)
	r.Crest.Merge(other.Crest)
	r.NodeSeconds += other.NodeSeconds
	r.Probes += other.Probes
	r.Reports += other.Reports
}

// collector gathers the ends of requests during a run.
type collector struct {
	mu     sync.Mutex
	result Result
}

func (c *collector) add(class bundle.Class, crest bool, e ending, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case class.Long:
		c.result.Long.add(e, took)
	default:
		c.result.Short.add(e, took)
		if crest {
			c.result.Crest.add(e, took)
		}
	}
}

func (r *run) summary() Result {
	result := r.result.result
	result.Probes, result.Reports = r.probes.Load(), r.reports.Load()
	result.NodeSeconds = float64(r.deployment.Entries) * r.scenario.Length.Seconds()
	return result
}

const header = "| policy | short p50 | p99 | p99.9 | refused | late | failed | long p50 | p99 | refused or late | crest unserved | probes /node/s | control B /node/s |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// Row is the result of one policy in a table.
type Row struct {
	Policy string
	Result Result
}

// WriteTable writes the rows as a Markdown table. Times are in milliseconds.
func WriteTable(w io.Writer, rows []Row) error {
	_, err := io.WriteString(w, header)
	for _, row := range rows {
		r := &row.Result
		_, rowErr := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %.2f | %.0f |\n", row.Policy,
			millis(r.Short.Quantile(0.5)), millis(r.Short.Quantile(0.99)), millis(r.Short.Quantile(0.999)),
			percent(r.Short.share(refused)), percent(r.Short.share(late)), percent(r.Short.share(failed)),
			millis(r.Long.Quantile(0.5)), millis(r.Long.Quantile(0.99)), percent(r.Long.Unserved()),
			percent(r.Crest.Unserved()),
			float64(r.Probes)/r.NodeSeconds, (float64(r.Probes)*probeBytes+float64(r.Reports)*reportBytes)/r.NodeSeconds)
		err = errors.Join(err, rowErr)
	}
	return err
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }
