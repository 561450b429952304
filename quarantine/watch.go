package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

const (
	// lossWindow is the longest time between a lost connection and the detection of the crash, by a
	// refused connection, by an announcement of a new process, or by the lack of an announcement within
	// its time to live of 2 s.
	lossWindow = 3 * time.Second
	// lateLossWindow is the time after the detection in which further lost connections belong to the crash.
	lateLossWindow = time.Second
	// minEvidenceDelay is the time after a lost connection from which an answer of the upstream shows that its process goes on: a
	// process that ends closes its connections and its listener one after the other.
	minEvidenceDelay = 100 * time.Millisecond
	// maxLosses bounds the losses kept. An upstream has at most a few hundred connections.
	maxLosses = 1024
)

var (
	lossesByCrash      = metrics.Counter(`magnoliawharf_quarantine_connections_lost_total{reason="process-ended"}`)
	lossesUnidentified = metrics.Counter(`magnoliawharf_quarantine_connections_lost_total{reason="body-unread"}`)
	lossesUnexplained  = metrics.Counter(`magnoliawharf_quarantine_connections_lost_total{reason="unexplained"}`)
)

// Outcome is the way in which a request to the upstream ended.
type Outcome uint8

// Ends of a request.
const (
	Answered       Outcome = iota + 1 // the response was complete
	ConnectionLost                    // the connection broke and the request may have run
	Abandoned                         // the caller gave up, or the request did not run
)

// ProcessInfo holds the fields of an announcement that identify the upstream's process.
type ProcessInfo struct {
	Process string // ID of the process, "" when the upstream does not announce one
	Addr    string
	Cold    bool // the upstream announces a cold start
}

// replaces reports whether s must come from another process than last.
func (s ProcessInfo) replaces(last ProcessInfo) bool {
	if s.Process != "" && last.Process != "" {
		return s.Process != last.Process
	}
	return s.Addr != last.Addr || s.Cold && !last.Cold
}

// CrashDetector detects crashes of the upstream beside this node and reports the requests that were in flight.
// A lost connection alone is not a crash: there must be evidence that the upstream's process has ended.
// It is safe for concurrent use.
type CrashDetector struct {
	list            *List
	nodeIncarnation string // identifies this node and its start

	mu         sync.Mutex
	crashCount uint64
	process    ProcessInfo
	announced  bool
	losses     []loss
	endedAt    time.Time // when the last process ended
	lastCrash  Crash     // identifies that end
	replaced   bool      // another process has been seen since then
	answeredAt time.Time // start of the latest request or health check that was answered
}

// loss is a request whose connection broke.
type loss struct {
	fingerprint Fingerprint
	began, at   time.Time
}

// NewCrashDetector returns the crash detector of the upstream beside the node. nodeIncarnation identifies the node and its
// start.
func NewCrashDetector(list *List, nodeIncarnation string) *CrashDetector {
	return &CrashDetector{list: list, nodeIncarnation: nodeIncarnation, replaced: true}
}

// RequestFinished records the end of a request that was sent to the upstream at began.
func (w *CrashDetector) RequestFinished(now, began time.Time, f Fingerprint, end Outcome) {
	switch end {
	case Answered:
		w.ProcessAnswered(began)
		w.list.Succeeded(now, f)
	case ConnectionLost:
		if crash, ok := w.recordLoss(loss{f, began, now}); ok {
			w.list.Report(now, crash, []Fingerprint{f})
		}
	}
}

// UnidentifiedFinished records the end of a request that was sent to the upstream at began and whose body had not been read to its end. It
// neither becomes a suspect nor clears one: it cannot be told from other requests.
func (w *CrashDetector) UnidentifiedFinished(began time.Time, end Outcome) {
	switch end {
	case Answered:
		w.ProcessAnswered(began)
	case ConnectionLost:
		lossesUnidentified.Inc()
	}
}

// ProcessAnswered records a response to a request or health check sent at began. If the last process had ended by then,
// another process has replaced it.
func (w *CrashDetector) ProcessAnswered(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replaced = w.replaced || began.After(w.endedAt)
	if began.After(w.answeredAt) {
		w.answeredAt = began
	}
}

// NeedsEvidence reports whether connections were lost lately and nothing shows yet whether the process has ended. The caller
// then checks it, since in quiet hours no other request does.
func (w *CrashDetector) NeedsEvidence(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.losses, func(l loss) bool {
		shown := l.at.Add(minEvidenceDelay)
		return now.Sub(l.at) <= lossWindow && now.After(shown) && !w.answeredAt.After(shown)
	})
}

// recordLoss keeps a loss until a crash is detected, or returns the recent crash to which it belongs.
func (w *CrashDetector) recordLoss(l loss) (Crash, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endedAt.IsZero() && l.began.Before(w.endedAt) && l.at.Sub(w.endedAt) <= lateLossWindow {
		return w.lastCrash, true
	}
	w.forgetLosses(l.at)
	if len(w.losses) < maxLosses {
		w.losses = append(w.losses, l)
	}
	return 0, false
}

// forgetLosses removes the losses that are too old to belong to a crash which is detected now. It is called with the lock held.
func (w *CrashDetector) forgetLosses(now time.Time) {
	kept := len(w.losses)
	w.losses = slices.DeleteFunc(w.losses, func(l loss) bool { return now.Sub(l.at) > lossWindow })
	lossesUnexplained.Add(kept - len(w.losses))
}

// ProcessSeen records an announcement of the upstream's process.
func (w *CrashDetector) ProcessSeen(now time.Time, s ProcessInfo) {
	w.mu.Lock()
	isNewProcess := w.announced && s.replaces(w.process)
	w.process, w.announced = s, true
	w.mu.Unlock()
	if !isNewProcess {
		return
	}
	w.ProcessEnded(now)
	w.mu.Lock()
	w.replaced = true
	w.mu.Unlock()
}

// ProcessEnded records that the upstream's process has ended: it refuses connections, its announcement has
// expired, or another process has replaced it. Repeated evidence of one end, such as a refused
// connection followed by an announcement of a new process, counts as one crash.
func (w *CrashDetector) ProcessEnded(now time.Time) {
	w.mu.Lock()
	if w.replaced || now.Sub(w.endedAt) > lossWindow {
		w.crashCount++
		w.lastCrash, w.endedAt, w.replaced = Crash(xxhash.Sum64String(w.nodeIncarnation)+w.crashCount), now, false
	}
	w.forgetLosses(now)
	lossesByCrash.Add(len(w.losses))
	var suspects []Fingerprint
	for _, l := range w.losses {
		if !slices.Contains(suspects, l.fingerprint) {
			suspects = append(suspects, l.fingerprint)
		}
	}
	w.losses = nil
	crash := w.lastCrash
	w.mu.Unlock()
	if len(suspects) > 0 {
		w.list.Report(now, crash, suspects)
	}
}
