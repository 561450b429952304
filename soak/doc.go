// Package soak runs sidecar nodes as separate processes on loopback addresses and injects faults from outside them:
// proxies that delay, refuse, stall or reset connections; signals that kill, pause, stop and reload processes; back ends
// that crash, drain, fail and are cold; a store that becomes unavailable or loses leases; and an operator that withdraws
// keys and evacuates zones. Callers and back ends record what they observe, and an oracle checks the guarantees of
// docs/guarantees.md against the records.
//
// The faults of a run are derived from its seed. See docs/soak.md for the guarantees that are checked, the faults, and how
// to run more seeds.
package soak
