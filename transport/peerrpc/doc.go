// Package peerrpc is the adapter of control messages between nodes: connect over HTTP/1.1. It
// checks what a peer sent before a decision sees it.
package peerrpc
