package datacentre

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Messenger sends messages to other nodes, addressed by the host:port of their peer listener. Each method
// calls the method of the Receiver there with the prefix Receive, and returns when the response has
// arrived or ctx has ended. An error of any type means that no usable response arrived; the receiver may
// have processed the message all the same. It must be safe for concurrent use.
type Messenger interface {
	Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error)
	Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error)
	Pull(ctx context.Context, addr string, req PullRequest) (PullResponse, error)
	Ping(ctx context.Context, addr string, req PingRequest) (PingResponse, error)
	PingVia(ctx context.Context, addr string, req PingViaRequest) (PingViaResponse, error)
}

// Receiver processes the messages of other nodes. Membership implements it; a transport adapter calls it.
// An error means that the message was rejected: ErrInvalid for a value out of bounds, ErrUnreachable when
// this node has not joined yet or does not know the node that the message is about.
type Receiver interface {
	ReceiveSync(ctx context.Context, req SyncRequest) (SyncResponse, error)
	ReceivePush(ctx context.Context, req PushRequest) (PushResponse, error)
	ReceivePull(ctx context.Context, req PullRequest) (PullResponse, error)
	ReceivePing(ctx context.Context, req PingRequest) (PingResponse, error)
	ReceivePingVia(ctx context.Context, req PingViaRequest) (PingViaResponse, error)
}

// Sender identifies the sender of a message and the versions it holds.
type Sender struct {
	ID            instance.ID
	Incarnation   uint64 // start time in ns since the Unix epoch
	StateVersion  uint64
	BundleVersion uint64 // 0 while the node has no bundle
}

// Contact is the time since the last known contact with a data centre.
type Contact struct {
	DataCentre string
	Age        time.Duration
}

// Digest is the combined hash of the live records of one data centre.
type Digest struct {
	DataCentre string
	Digest     uint64
}

// SyncRequest compares the tables of two nodes. Root is the digest over all data centres; Stale lists the
// data centres without recent contact, for which the sender asks for a later one.
type SyncRequest struct {
	Sender Sender
	Root   uint64
	Stale  []Contact
}

// SyncResponse holds the digests of the receiver when the roots differ, and the Contacts that are later
// than those in the request. Newer is the receiver's record of the sender when that is newer than the
// sender's own; Behind means that the receiver holds none or an older one.
type SyncResponse struct {
	Sender   Sender
	Root     uint64
	Digests  []Digest
	Contacts []Contact
	Newer    *instance.Record
	Behind   bool
}

// Broadcast carries an opaque payload of another part of the system to all nodes.
type Broadcast struct {
	Topic      string
	ID         string
	From       instance.ID
	DataCentre string // data centre of From
	Payload    []byte
}

// Offer announces a broadcast whose payload the sender holds.
type Offer struct{ Topic, ID string }

// PushRequest delivers changed records and broadcasts. A large broadcast is offered first.
type PushRequest struct {
	Sender     Sender
	Records    []instance.Record
	Broadcasts []Broadcast
	Offers     []Offer
}

// PushResponse lists the indexes of the offers whose payload the receiver lacks. It requests those of Wanted from
// the sender of the push; it has requested those of Pending from another holder. The payloads of other offers
// it holds.
type PushResponse struct {
	Sender  Sender
	Wanted  []int
	Pending []int
}

// PullRequest asks for the records of the buckets that differ in one data centre, or for all its records
// when Buckets is empty.
type PullRequest struct {
	Sender     Sender
	DataCentre string
	Buckets    []uint64
}

// PullResponse holds the requested records, including those of gone instances.
type PullResponse struct {
	Sender  Sender
	Records []instance.Record
}

// PingRequest asks whether the receiver is running.
type PingRequest struct{ Sender Sender }

// PingResponse answers a PingRequest.
type PingResponse struct{ Sender Sender }

// PingViaRequest asks the receiver to ping a third node. A receiver that does not know this incarnation
// of the target rejects the request.
type PingViaRequest struct {
	Sender      Sender
	Target      instance.ID
	Incarnation uint64
	Timeout     time.Duration
}

// PingViaResponse holds the incarnation that answered, or 0 when none did.
type PingViaResponse struct {
	Sender      Sender
	Incarnation uint64
}
