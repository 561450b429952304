package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lossWindow is the time between the loss of connections and the sign of a crash: a refused
	// connection, an announcement of a new process, or none within the time to live of 2 s.
	lossWindow = 3 * time.Second
	// lossGrace is the time after the sign in which further connections may be found lost.
	lossGrace = time.Second
	// maxLost bounds the losses kept; an upstream has at most a few hundred connections.
	maxLost = 1024
)

// End is how a request ended at the upstream.
type End uint8

// Ends of a request.
const (
	Answered  End = iota + 1 // the whole answer came
	Lost                     // the connection broke while the request may have run
	Abandoned                // the caller gave up, or the request did not run
)

// Sign is what an announcement says of the upstream's process.
type Sign struct {
	Process string // names the process, "" when the upstream does not say
	Addr    string
	Cold    bool
}

// follows reports whether s can only come from another process than last.
func (s Sign) follows(last Sign) bool {
	if s.Process != "" && last.Process != "" {
		return s.Process != last.Process
	}
	return s.Addr != last.Addr || s.Cold && !last.Cold
}

// Watch knows the requests in flight at the upstream beside this node and recognises its crashes. A
// lost connection alone is no crash: the upstream's process must be seen to have ended. It is safe
// for concurrent use.
type Watch struct {
	list *List
	node string

	mu      sync.Mutex
	serial  uint64
	sign    Sign
	signed  bool
	lost    []loss
	crashed time.Time // end of the last process
	crash   Crash     // its name
	renewed bool      // another process has been seen since
}

type loss struct {
	fingerprint Fingerprint
	began, at   time.Time
}

// NewWatch returns the watch of the upstream beside the node. node names this life of the node.
func NewWatch(list *List, node string) *Watch { return &Watch{list: list, node: node, renewed: true} }

// Finished takes the end of a request that the upstream may have run since began.
func (w *Watch) Finished(now, began time.Time, f Fingerprint, end End) {
	switch end {
	case Answered:
		w.answered(began)
		w.list.Succeeded(now, f)
	case Lost:
		if crash, ok := w.noteLoss(loss{f, began, now}); ok {
			w.list.Report(now, crash, []Fingerprint{f})
		}
	}
}

// answered notes that a process lives which took a request after the last one had ended.
func (w *Watch) answered(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewed = w.renewed || began.After(w.crashed)
}

// noteLoss keeps a loss until a crash is recognised, or returns the crash that it belongs to.
func (w *Watch) noteLoss(l loss) (Crash, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.crashed.IsZero() && l.began.Before(w.crashed) && l.at.Sub(w.crashed) <= lossGrace {
		return w.crash, true
	}
	w.lost = slices.DeleteFunc(w.lost, func(held loss) bool { return l.at.Sub(held.at) > lossWindow })
	if len(w.lost) < maxLost {
		w.lost = append(w.lost, l)
	}
	return 0, false
}

// Announced takes a sign of the upstream's process.
func (w *Watch) Announced(now time.Time, s Sign) {
	w.mu.Lock()
	other := w.signed && s.follows(w.sign)
	w.sign, w.signed = s, true
	w.mu.Unlock()
	if !other {
		return
	}
	w.Ended(now)
	w.mu.Lock()
	w.renewed = true
	w.mu.Unlock()
}

// Ended says that the upstream's process is gone: it refuses connections, its announcement lapsed,
// or another process took its place. Several signs of one end, such as a refused connection and
// then the new announcement, count as one crash.
func (w *Watch) Ended(now time.Time) {
	w.mu.Lock()
	if w.renewed || now.Sub(w.crashed) > lossWindow {
		w.serial++
		w.crash, w.crashed, w.renewed = Crash(xxhash.Sum64String(w.node)+w.serial), now, false
	}
	var suspects []Fingerprint
	for _, l := range w.lost {
		if now.Sub(l.at) <= lossWindow && !slices.Contains(suspects, l.fingerprint) {
			suspects = append(suspects, l.fingerprint)
		}
	}
	w.lost = nil
	crash := w.crash
	w.mu.Unlock()
	if len(suspects) > 0 {
		w.list.Report(now, crash, suspects)
	}
}
