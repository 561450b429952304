package idempotency

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// ClaimRequest asks the owner of a key for the right to run it.
type ClaimRequest struct {
	Service  string
	Epoch    uint64   // epoch in which the sender believes To to own the key
	To       Identity // member addressed
	Key      Key
	Attempt  Attempt
	TimeLeft time.Duration // until the call's deadline
}

// ClaimReply answers a claim. Group is set with NotOwner.
type ClaimReply struct {
	Verdict Verdict
	Answer  *Answer
	Group   *Record
}

// SettleRequest tells the owner of a key how an attempt ended.
type SettleRequest struct {
	Service string
	Epoch   uint64
	To      Identity
	Key     Key
	Attempt Attempt
	Outcome Outcome
	Answer  *Answer // with OutcomeDone, when small enough
}

// SettleReply answers a settlement. Group is set when another member owns the key.
type SettleReply struct {
	Accepted bool
	Group    *Record
}

// GrantRequest asks a member to grant or extend the sender's lease.
type GrantRequest struct {
	Service string
	Epoch   uint64
	From    Identity
	To      Identity
	Ceiling int64 // the sender will accept no key issued later (ms, Unix)
}

// GrantReply answers a GrantRequest. Present says that the member addressed has replied, and not a
// later incarnation of its node. Group is set when the member knows a higher epoch.
type GrantReply struct {
	Granted bool
	Present bool
	Group   *Record
}

// SealRequest asks a member to take no further part in the epoch.
type SealRequest struct {
	Service string
	Epoch   uint64
	From    Identity
	To      Identity
}

// Promise describes a member's grants to one owner in the epoch.
type Promise struct {
	Owner     string
	Remaining time.Duration // for which the last grant is still valid
	Ceiling   int64         // highest ceiling that was granted (ms, Unix)
}

// SealReply answers a SealRequest. LatestIssued is the latest time of issue of the keys that the sealed
// member itself accepted as owner (ms, Unix).
type SealReply struct {
	Sealed       bool
	Promises     []Promise
	LatestIssued int64
	Group        *Record
}

// JoinRequest asks a node whether it would become a member.
type JoinRequest struct {
	Service string
	To      Identity
}

// GroupInfoRequest asks for the keeper group of a service, and may carry a record for the receiver to adopt.
type GroupInfoRequest struct {
	Service string
	Record  *Record
}

// Peers sends messages to other members. Each method calls the method of the same name of the Keeper
// there (HandOver calls AcceptHandOver) and returns when its reply came or ctx ended. An error may be of any
// type and leaves open whether the message arrived. It must be safe for concurrent use.
type Peers interface {
	Claim(ctx context.Context, to Member, r ClaimRequest) (ClaimReply, error)
	Settle(ctx context.Context, to Member, r SettleRequest) (SettleReply, error)
	Grant(ctx context.Context, to Member, r GrantRequest) (GrantReply, error)
	Seal(ctx context.Context, to Member, r SealRequest) (SealReply, error)
	HandOver(ctx context.Context, to Member, c HandOverChunk) (bool, error)
	Join(ctx context.Context, to Member, r JoinRequest) (bool, error)
	GroupInfo(ctx context.Context, to Member, r GroupInfoRequest) (*Record, error)
}

// Input is an event that a state machine processes.
type Input interface{ input() }

// Tick says that time has passed.
type Tick struct{}

// RecordRead is the result of ReadRecord. Record is nil when the store holds none.
type RecordRead struct {
	Started  Instant // before the read was sent
	Record   *Record
	Revision int64
	Era      store.EraStatus // in which the revision holds
	Failed   bool
}

// SwapDone is the result of SwapRecord.
type SwapDone struct {
	Started  Instant
	Record   *Record
	Revision int64
	Era      store.EraStatus // in which the revision holds
	Swapped  bool            // false: conflict, failure or uncertain, to be resolved by reading the record again
}

// GrantAnswered carries the answer to a SendGrantRequest.
type GrantAnswered struct {
	Round uint64
	From  Identity
	Reply GrantReply
}

// SealAnswered carries the answer to a SendSealRequest.
type SealAnswered struct {
	Epoch uint64
	From  Identity
	Reply SealReply
}

// JoinAnswered says that a node agreed to become a member.
type JoinAnswered struct{ From Identity }

// RecordReceived carries a record learned from a peer.
type RecordReceived struct{ Record *Record }

// PeersChanged carries what membership knows of the nodes beside the service's upstreams.
type PeersChanged struct{ Peers []Peer }

// StopRequested begins the planned stop of this node.
type StopRequested struct{}

func (Tick) input()           {}
func (RecordRead) input()     {}
func (SwapDone) input()       {}
func (GrantAnswered) input()  {}
func (SealAnswered) input()   {}
func (JoinAnswered) input()   {}
func (RecordReceived) input() {}
func (PeersChanged) input()   {}
func (StopRequested) input()  {}

// Output is an action that a state machine requests, executed outside its lock.
type Output interface{ output() }

// ReadRecord asks for the record in the store.
type ReadRecord struct{}

// SwapRecord asks for a compare-and-swap of the record.
type SwapRecord struct {
	Record   *Record
	Revision int64
	Era      store.EraStatus // in which the revision holds
}

// SendGrantRequest sends a GrantRequest.
type SendGrantRequest struct {
	Round   uint64
	To      Member
	Request GrantRequest
}

// SendSealRequest sends a SealRequest.
type SendSealRequest struct {
	To      Member
	Request SealRequest
}

// SendJoinRequest sends a JoinRequest.
type SendJoinRequest struct {
	To      Member
	Request JoinRequest
}

// SendRecord informs a member of a record.
type SendRecord struct {
	To     Member
	Record *Record
}

// HandOver sends the chunks of a hand-over in order, repeating each until it is accepted.
type HandOver struct {
	To     Member
	Chunks []HandOverChunk
}

func (ReadRecord) output()       {}
func (SwapRecord) output()       {}
func (SendGrantRequest) output() {}
func (SendSealRequest) output()  {}
func (SendJoinRequest) output()  {}
func (SendRecord) output()       {}
func (HandOver) output()         {}
