package soak

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
)

const (
	waitSampleInterval = 100 * time.Millisecond
	// maxListedWaits is the number of waits that a failed run lists.
	maxListedWaits = 15
	// testProcess is the name of the test's own process.
	testProcess = "test"
)

// nodeName returns the name of the node on a machine.
func nodeName(machine int) string { return fmt.Sprintf("m%d", machine) }

// threadWait is one period in which a thread was ready to run and the machine did not run it.
type threadWait struct {
	process string
	thread  string // its folder in /proc
	span
}

func (w threadWait) String() string {
	return fmt.Sprintf("%s %s waited %v until %s", w.process, w.thread, w.to.Sub(w.from).Round(time.Millisecond), clock(w.to))
}

// schedStat is the content of a thread's schedstat file.
type schedStat struct {
	waited     time.Duration // total time of waits for a processor
	timeslices int64         // how often it began to run
}

// threadWaits records the waits of the threads of some processes. They tell a node that the machine did not run from one
// that held a request up. It is safe for concurrent use.
type threadWaits struct {
	mu    sync.Mutex
	last  map[string]schedStat // by folder of the thread
	waits []threadWait
}

// sample reads the statistics of all threads of a process. A process that has ended has none.
func (w *threadWaits) sample(process string, id int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", id)) // the pattern is valid
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(thread, "schedstat"))
		if err != nil {
			continue // the thread has ended
		}
		var ran int64
		var now schedStat
		if _, err := fmt.Sscan(string(text), &ran, &now.waited, &now.timeslices); err != nil {
			continue
		}
		if before, ok := w.last[thread]; ok {
			w.compare(threadWait{process: process, thread: thread}, before, now)
		}
		w.last[thread] = now
	}
}

// compare records a wait if the thread waited longer than minStall each time since the sample before.
func (w *threadWaits) compare(t threadWait, before, now schedStat) {
	waited := now.waited - before.waited
	if times := now.timeslices - before.timeslices; times <= 0 || waited < time.Duration(times)*minStall {
		return
	}
	t.to = time.Now()
	t.from = t.to.Add(-waited)
	w.waits = append(w.waits, t)
}

// recordStart records the start of a node that took longer than minStall: the new process, or the starter, was not run.
func (w *threadWaits) recordStart(machine int, s span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.to.Sub(s.from) > minStall {
		w.waits = append(w.waits, threadWait{process: "start of " + nodeName(machine), thread: "starter", span: s})
	}
}

// during returns the waits of the processes that overlap the interval.
func (w *threadWaits) during(from, to time.Time, processes ...string) []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []span
	for _, wait := range w.waits {
		if wait.overlap(from, to) > 0 && slices.Contains(processes, wait.process) {
			out = append(out, wait.span)
		}
	}
	return out
}

// notRun returns for how much of the interval the machine did not run the test, one of its threads, or a thread of the nodes
// on these machines.
func (o *oracle) notRun(from, to time.Time, machines ...int) time.Duration {
	processes := []string{testProcess}
	for _, m := range machines {
		processes = append(processes, nodeName(m))
	}
	return covered(append(o.stall.during(from, to), o.waits.during(from, to, processes...)...), from, to)
}

// covered returns the length of the part of the interval that the spans cover.
func covered(spans []span, from, to time.Time) time.Duration {
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	var sum time.Duration
	for _, s := range spans {
		sum += s.overlap(from, to)
		from = later(from, s.to)
	}
	return sum
}

// longest lists the longest waits, one per line.
func (w *threadWaits) longest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(w.waits, func(a, b threadWait) int { return cmp.Compare(b.to.Sub(b.from), a.to.Sub(a.from)) })
	var lines strings.Builder
	for _, wait := range w.waits[:min(maxListedWaits, len(w.waits))] {
		fmt.Fprintln(&lines, wait)
	}
	return lines.String()
}

// recordWaits samples the test's process and the nodes until the end of the test.
func (f *fleet) recordWaits() {
	w := f.oracle.waits
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(waitSampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			w.sample(testProcess, os.Getpid())
			for _, m := range f.machines {
				w.sample(nodeName(m.index), m.proc.Load().ID())
			}
		}
	}()
}

// Guards against a run whose delays cannot be told from those of the machine, since no long wait is recorded, and against
// many short waits that look like a long one.
func TestLongWaitOfThreadIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name     string
		now      schedStat
		recorded int
	}{
		{"one long wait", schedStat{waited: 900 * time.Millisecond, timeslices: 12}, 1},
		{"many short waits", schedStat{waited: 900 * time.Millisecond, timeslices: 200}, 0},
		{"did not run", schedStat{waited: 100 * time.Millisecond, timeslices: 10}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &threadWaits{}
			w.compare(threadWait{}, schedStat{waited: 100 * time.Millisecond, timeslices: 10}, c.now)
			assert.Equal(t, len(w.waits), c.recorded)
		})
	}
}

// Guards against violations of nodes whose threads were ready and got no processor from the machine, as at a load of eight
// times the processors, against bounds that are widened by nodes which the request did not pass, and against a late arrival after
// the caller gave up that is excused by a wait of a node.
func TestWaitsOnThePathWidenBounds(t *testing.T) {
	for _, c := range []struct {
		waiting    string
		violations []string
	}{{"m1", []string{"GONE"}}, {"m2", []string{"GONE"}}, {testProcess, nil}, {"m3", []string{"BUDGET", "GONE"}}} {
		t.Run(c.waiting, func(t *testing.T) {
			sent := time.Now().Add(-time.Minute)
			arrived := sent.Add(800 * time.Millisecond)
			o := newOracle(serviceOf, &stallDetector{})
			o.waits.waits = []threadWait{
				{process: c.waiting, span: span{sent, sent.Add(700 * time.Millisecond)}},
				{process: c.waiting, span: span{sent.Add(-time.Second), sent.Add(10 * time.Millisecond)}},
			}
			r := &request{id: "1", machine: 1, sent: sent, limit: requestLimit, ended: arrived, abandoned: sent.Add(time.Millisecond)}
			o.checkArrival(r, standin.ReceivedRequest{At: arrived, Instance: "m2-1", TimeLeft: requestLimit}, true)
			var signs []string
			for _, violation := range o.violations {
				sign, _, _ := strings.Cut(violation, ":")
				signs = append(signs, sign)
			}
			assert.DeepEqual(t, signs, c.violations)
			assert.Equal(t, o.notRun(sent, arrived, 1, 2) == 700*time.Millisecond, c.waiting != "m3")
		})
	}
}
