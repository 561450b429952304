// Package soak runs the product's nodes as separate processes on loopback addresses and injects faults from outside them:
// proxies that delay, reset, silence or cut connections, signals that kill, pause, stop and reload processes, back ends
// that crash, leave and fail, and a store that goes away or forgets. Callers and back ends report what they see, and an
// oracle checks the promises of docs/guarantees.md against it.
//
// A run is drawn from a seed. See docs/soak.md for the promises that are checked, the faults, and how to run more seeds.
package soak
