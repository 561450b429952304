// Package instance models the instances of the system. An instance is a machine that runs one node process and the
// upstream beside it. A Record describes one instance as the nodes know it; a Fleet holds the newest record of each.
package instance

import "fmt"

// ID names an instance. It is unique in the fleet and comes from the node's settings.
type ID string

// State is the state of the upstream of an instance.
type State uint8

// States of an upstream in the order of its life cycle. The numeric order matters: Record.Newer prefers the later
// state when versions are equal. Unannounced, the zero value, means that no upstream has announced itself yet.
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

// Record describes one instance. Nodes exchange records and keep the newest one of each instance, see Newer. Incarnation
// tells the successive node processes under one ID and address apart; StateVersion orders the states within one incarnation.
type Record struct {
	ID           ID
	Incarnation  uint64 // start time of the node process in ns since the Unix epoch
	DataCentre   string
	Region       string
	CallerAddr   string // host:port at which the node accepts requests of callers
	PeerAddr     string // host:port at which the node accepts requests of other nodes
	Service      string // service of the upstream beside the node, "" before the upstream announces itself
	State        State
	Slots        int    // number of requests that the upstream processes concurrently
	StateVersion uint64 // grows with each change of state within one incarnation
}

// Newer reports whether r replaces other: it has a higher incarnation, or the same incarnation and a
// higher state version. When both are equal, the higher state wins: an instance may change its state while another
// node declares it failed under the same state version. All nodes then keep the same record, and the instance
// refutes the failure.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.StateVersion != other.StateVersion {
		return r.StateVersion > other.StateVersion
	}
	return r.State > other.State
}
