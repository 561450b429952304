package store

import "sync"

// Era counts how often the store has come back from an older copy of its data. Such a return discards acknowledged writes
// and leases. Revisions go back and are given out again, and so may be lease IDs: neither identifies anything beyond its
// era. 0 means that the era is unknown.
type Era int64

// EraStatus is what the answers of a store have shown of its era.
type EraStatus struct {
	Current  Era // the latest era seen in an answer
	Previous Era // the era before Current, 0 if there was no change
	// Changed is closed when an answer shows a later era than Current. It is nil when the service has no eras. A status
	// without an era is replaced silently by the first answer that shows one.
	Changed <-chan struct{}
}

// Ended reports whether a later era has been seen since the status was read.
func (s EraStatus) Ended() bool {
	select {
	case <-s.Changed:
		return true
	default:
		return false
	}
}

// EraTracker follows the era of a store for its adapter, which reports the era of each answer. The zero value has seen no
// answer. It is safe for concurrent use.
type EraTracker struct {
	mu       sync.Mutex
	current  Era
	previous Era
	changed  chan struct{}
}

// Observe records the era of an answer. Eras only rise: an answer of an earlier era was delayed and is ignored.
func (t *EraTracker) Observe(era Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case era <= t.current:
	case t.current == 0:
		t.current = era
	default:
		t.previous, t.current = t.current, era
		if t.changed != nil {
			close(t.changed)
			t.changed = nil
		}
	}
}

// Era implements the method of Store.
func (t *EraTracker) Era() EraStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return EraStatus{Current: t.current, Previous: t.previous, Changed: t.changed}
}

// NoEra is embedded by adapters of services that do not report an era.
type NoEra struct{}

// Era implements the method of Store: the era is unknown and never changes.
func (NoEra) Era() EraStatus { return EraStatus{} }
