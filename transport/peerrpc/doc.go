// Package peerrpc carries control messages between nodes as Connect calls over HTTP/1.1. For the packages datacentre,
// bundle, idempotency and link it has a client that sends their messages and a handler that serves them; for package
// quarantine it encodes notices as broadcasts. It translates between the protobuf messages of api/magnoliawharf/v1 and the
// types of those packages, which make all decisions. Received messages are limited in size, and a message with a value out
// of bounds is refused before it reaches a decision.
package peerrpc
