// Package e2e tests the built binary: the store stand-in, nodes and upstreams run as separate processes on
// loopback, and signals inject the faults.
package e2e
