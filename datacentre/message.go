package datacentre

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Messenger sends messages to other nodes, named by the address (host:port) of their peer listener.
// Each method calls the method of the Receiver there with the prefix Receive, and returns when the
// response came or ctx ended. An error of any type says that no usable response came; the receiver
// may have taken the message all the same. It is used by many goroutines.
type Messenger interface {
	Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error)
	Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error)
	Pull(ctx context.Context, addr string, req PullRequest) (PullResponse, error)
	Ping(ctx context.Context, addr string, req PingRequest) (PingResponse, error)
	PingVia(ctx context.Context, addr string, req PingViaRequest) (PingViaResponse, error)
}

// Receiver takes the messages of other nodes. Membership implements it; an adapter calls it. An
// error says that the message was refused: ErrInvalid for a value out of bounds, ErrUnreachable when
// this node has not joined yet or doesn't know the node that the message is about.
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
	BundleVersion uint64 // 0 before there is a bundle
}

// Contact is the time since the last known contact with a data centre.
type Contact struct {
	DataCentre string
	Age        time.Duration
}

// Digest covers the live records of one data centre.
type Digest struct {
	DataCentre string
	Digest     uint64
}

// SyncRequest compares what two nodes know. Root is the digest of all data centres; Stale lists
// the data centres without recent contact, of which the sender asks for a later one.
type SyncRequest struct {
	Sender Sender
	Root   uint64
	Stale  []Contact
}

// SyncResponse holds the digests of the receiver when the roots differ, and the Contacts that are
// later than those asked for. Newer is its record of the sender when that is newer than the sender's
// own; Behind says that it holds none or an older one.
type SyncResponse struct {
	Sender   Sender
	Root     uint64
	Digests  []Digest
	Contacts []Contact
	Newer    *instance.Record
	Behind   bool
}

// Broadcast is an opaque message of another part of the system.
type Broadcast struct {
	Topic      string
	ID         string
	From       instance.ID
	DataCentre string // of From
	Payload    []byte
}

// Offer names a broadcast whose payload the sender holds.
type Offer struct{ Topic, ID string }

// PushRequest delivers changed records and broadcasts. A large broadcast is offered first.
type PushRequest struct {
	Sender     Sender
	Records    []instance.Record
	Broadcasts []Broadcast
	Offers     []Offer
}

// PushResponse lists the indexes of the offers whose payload the receiver lacks.
type PushResponse struct {
	Sender Sender
	Wanted []int
}

// PullRequest asks for the records of the buckets that differ in one data centre. No buckets ask
// for all records.
type PullRequest struct {
	Sender     Sender
	DataCentre string
	Buckets    []uint64
}

// PullResponse holds the records, those of gone instances included.
type PullResponse struct {
	Sender  Sender
	Records []instance.Record
}

// PingRequest asks whether the receiver runs.
type PingRequest struct{ Sender Sender }

// PingResponse answers a PingRequest.
type PingResponse struct{ Sender Sender }

// PingViaRequest asks the receiver to ping a third node. A receiver that does not hold this
// incarnation of it refuses.
type PingViaRequest struct {
	Sender      Sender
	Target      instance.ID
	Incarnation uint64
	Timeout     time.Duration
}

// PingViaResponse holds the incarnation that answered, 0 when none did.
type PingViaResponse struct {
	Sender      Sender
	Incarnation uint64
}
