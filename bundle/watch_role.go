package bundle

import "sync"

// WatchRole tells whether this node watches the store for its data centre. Changed returns a channel that
// is closed at the next change.
type WatchRole interface {
	Watching() bool
	Changed() <-chan struct{}
}

// WatchRoleSwitch is a WatchRole that is set from outside, for example whenever membership changes. It is safe
// for concurrent use.
type WatchRoleSwitch struct {
	mu       sync.Mutex
	watching bool
	changed  chan struct{}
}

var _ WatchRole = (*WatchRoleSwitch)(nil)

// NewWatchRoleSwitch returns a switch.
func NewWatchRoleSwitch(watching bool) *WatchRoleSwitch {
	return &WatchRoleSwitch{watching: watching, changed: make(chan struct{})}
}

// Set sets the role. Setting what it is already has no effect.
func (s *WatchRoleSwitch) Set(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching != watching {
		s.watching = watching
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Watching implements WatchRole.
func (s *WatchRoleSwitch) Watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// Changed implements WatchRole.
func (s *WatchRoleSwitch) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
