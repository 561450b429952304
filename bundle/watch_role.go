package bundle

import "sync"

// WatchRole reports whether this node watches the store on behalf of its data centre. Changed returns a channel
// that is closed at the next change of the role.
type WatchRole interface {
	Watching() bool
	Changed() <-chan struct{}
}

// WatchRoleSwitch is a WatchRole that its owner sets, for example when the membership changes. It is safe for
// concurrent use.
type WatchRoleSwitch struct {
	mu       sync.Mutex
	watching bool
	changed  chan struct{}
}

var _ WatchRole = (*WatchRoleSwitch)(nil)

// NewWatchRoleSwitch returns a switch with the initial role watching.
func NewWatchRoleSwitch(watching bool) *WatchRoleSwitch {
	return &WatchRoleSwitch{watching: watching, changed: make(chan struct{})}
}

// Set changes the role and closes the channel returned by Changed. It has no effect when the role is the same.
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
