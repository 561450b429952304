// Package idempotency runs the requests of at-most-once routes at most once for each idempotency
// key, a UUIDv7 chosen by the caller.
//
// Each service has a keeper group of up to 3 ordinary nodes, which divide the service's keys among
// them. A record in the store lists the members; each change of members begins a new epoch. Table
// holds the outcomes of the keys that one member owns. Group is the state machine of a member: it
// holds a lease, grants leases to the other members, is sealed at the end of an epoch, and starts
// the next one. NonMember is the state machine of the other nodes beside upstreams of the service: it
// creates groups and replaces orphaned ones, which have lost their majority. Keeper runs both for a
// node, and Client claims and settles keys for an entry node. The state machines take typed inputs
// and readings of the wall clock and the monotonic clock, and return typed outputs; only Keeper and
// Client do I/O, through store.Store and Peers.
//
// Safety, in short: only the owner of a key accepts it, and only keys issued up to a ceiling that a
// majority of the epoch knows. The next epoch begins after a majority was sealed, and its record
// gives for each earlier member the latest issue time of the keys that it may have accepted. A new
// owner refuses the keys issued up to that time as unknown unless it received the earlier owner's
// table in full. These rules use no clock. Leases keep two members from serving a key at once as
// long as monotonic clock rates differ by less than 10 % and the clocks of a paused process do not
// both stop. docs/at-most-once.md has the whole argument, its assumptions and the limits of the
// guarantee.
//
// Layout: a Group represents one node's membership in the keeper group of a service, a Table holds the
// keys that the node owns. Concurrency:
// keys in 64 shards, one lock per group, one goroutine with a timer per group, and one per message
// or store call under way. No lock is held across I/O.
package idempotency
