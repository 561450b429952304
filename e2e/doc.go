// Package e2e holds the tests that run the built binary: store stand-in, nodes and upstreams as
// processes of their own on loopback, with faults brought about by signals.
package e2e
