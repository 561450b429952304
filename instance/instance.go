// Package instance describes the machines of the system: one node process and the upstream beside
// it. A Record is what the fleet knows of one instance; a Fleet holds the records of all of them.
package instance

import "fmt"

// ID names an instance. It is unique in the fleet and set in the node's settings.
type ID string

// State is the state of the upstream of an instance.
type State uint8

// States of an upstream, from first announcement to end. The zero value means that no upstream
// has announced itself yet.
const (
	Unannounced State = iota
	Cold
	Ready
	Draining
	Left
	Failed
)

var stateNames = [...]string{"unannounced", "cold", "ready", "draining", "left", "failed"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Valid reports whether s is one of the known states.
func (s State) Valid() bool { return int(s) < len(stateNames) }

// Serves reports whether an upstream in this state may receive new work.
func (s State) Serves() bool { return s == Cold || s == Ready }

// Gone reports whether the instance has left or failed.
func (s State) Gone() bool { return s == Left || s == Failed }

// Record is what the fleet knows of one instance. Incarnation is the start time of the node in
// nanoseconds since the Unix epoch; it tells lives under the same address apart. StateVersion
// grows with each change of state within one incarnation.
type Record struct {
	ID           ID
	Incarnation  uint64 // start time in ns since the Unix epoch
	DataCentre   string
	Region       string
	CallerAddr   string // host:port of the callers' listener
	PeerAddr     string // host:port of the nodes' listener
	Service      string // service of the upstream beside the node, "" before it announces
	State        State
	Slots        int    // requests the upstream runs at the same time
	StateVersion uint64 // grows with each change within one incarnation
}

// Newer reports whether r replaces other: a higher incarnation, or the same incarnation with a
// higher state version. An instance may change its state while another node declares it failed
// under the same state version; the later state then wins everywhere, and the instance refutes it.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.StateVersion != other.StateVersion {
		return r.StateVersion > other.StateVersion
	}
	return r.State > other.State
}
