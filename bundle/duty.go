package bundle

import "sync"

// Duty tells whether this node watches the store for its data centre. Changed returns a channel that
// is closed at the next change.
type Duty interface {
	OnDuty() bool
	Changed() <-chan struct{}
}

// DutySwitch is a Duty that is set from outside, for example whenever membership changes. It is safe
// for concurrent use.
type DutySwitch struct {
	mu      sync.Mutex
	onDuty  bool
	changed chan struct{}
}

var _ Duty = (*DutySwitch)(nil)

// NewDutySwitch returns a switch.
func NewDutySwitch(onDuty bool) *DutySwitch {
	return &DutySwitch{onDuty: onDuty, changed: make(chan struct{})}
}

// Set sets the duty. Setting what it is already has no effect.
func (s *DutySwitch) Set(onDuty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onDuty != onDuty {
		s.onDuty = onDuty
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// OnDuty implements Duty.
func (s *DutySwitch) OnDuty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onDuty
}

// Changed implements Duty.
func (s *DutySwitch) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
