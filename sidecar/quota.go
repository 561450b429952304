package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// membersSettleTime is the time without a new member after which a node that has started takes its members as known. minSettleTime
	// and maxSettleTime bound the wait from the first of them: nodes that start together hear of most others in the first second, and
	// the others take a node as an allocator when it has answered for a second.
	membersSettleTime = 500 * time.Millisecond
	minSettleTime     = time.Second
	maxSettleTime     = 3 * time.Second
	// stopRepeats is the number of times that a stopping node tells the others, and stopRepeatDelay the time between them: a datagram
	// may be lost.
	stopRepeats     = 3
	stopRepeatDelay = 200 * time.Millisecond
	// maxStopAddresses is the number of nodes that are told.
	maxStopAddresses = 1 << 16
)

// newQuota builds this node's part in the quotas of tenants and connects it to the contracts and the messages of other nodes.
func (s *Sidecar) newQuota() {
	s.quota = quota.NewNode(quota.Options{
		Name: s.Settings.Node, Addr: s.socket.Addr(), Sender: s.socket, Now: time.Now,
		AfterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		OnSilent:  func(addr netip.AddrPort) { s.roster.ProbeNode(addr) }, Log: s.Log,
	})
	s.contracts.OnAdopt(s.quota.Adopt)
	s.socket.OnQuotaRequest, s.socket.OnQuotaReply = s.quota.HandleRequest, s.quota.HandleReply
	s.socket.OnStop = func(run peer.StoppedRun) { s.roster.HandleStop(run) }
}

// handleContact sends another node what it may not know: suspects, and nodes that have stopped.
func (s *Sidecar) handleContact(addr netip.AddrPort) {
	s.sendSuspects(addr)
	s.socket.SendStops(addr, s.roster.StoppedRuns())
}

// runQuota keeps the members of the quotas up to date until ctx ends, and lets the node allocate once it knows them. Members are
// probed only while the contracts limit a tenant.
func (s *Sidecar) runQuota(ctx context.Context) {
	var members []peer.Member
	settling := settling{known: s.nodesFound}
	last := time.Now()
	for started := false; wait.For(ctx, quota.TickInterval); {
		now := time.Now()
		if suspended(now.Round(0).Sub(last.Round(0)), now.Sub(last)) {
			s.quota.Resume()
		}
		last = now
		next := s.roster.Members()
		if changed := len(next) != len(members) || len(next) > 0 && &next[0] != &members[0]; changed {
			members = next
			s.quota.Tick(quotaMembers(members), true)
		} else {
			s.quota.Tick(nil, false)
		}
		if !started && settling.done(now, len(members), s.roster.HeardPeers()) {
			started = true
			s.quota.Start()
		}
		if s.quota.Limited() > 0 {
			s.roster.Probe()
		}
	}
}

// maxClockDifference is the largest difference between the time of day and the monotonic clock, from one tick to the next, that counts
// as a correction of the time of day.
const maxClockDifference = 300 * time.Millisecond

// suspended reports whether the monotonic clock stood still while the time of day went on, as while a machine is suspended. A time of
// day that was set forward looks the same, and costs a second without allocation at this node.
func suspended(timeOfDay, monotonic time.Duration) bool {
	return timeOfDay-monotonic > maxClockDifference
}

func quotaMembers(members []peer.Member) []quota.Member {
	converted := make([]quota.Member, len(members))
	for i, m := range members {
		converted[i] = quota.Member(m)
	}
	return converted
}

// settling decides when a node that has started knows the other nodes.
type settling struct {
	known       <-chan struct{} // closed when the store has named the others, or one has been heard of
	members     int
	begun, grew time.Time
}

// done reports whether the members are known: the store or another node has named them, and no new one has come for some time. A node
// that reaches neither knows nothing of the others.
func (t *settling) done(now time.Time, members, heard int) bool {
	named := heard > 0
	select {
	case <-t.known:
		named = true
	default:
	}
	if !named {
		return false
	}
	if t.begun.IsZero() {
		t.begun, t.grew = now, now
	}
	if members > t.members {
		t.members, t.grew = members, now
	}
	waited := now.Sub(t.begun)
	return waited >= minSettleTime && (now.Sub(t.grew) >= membersSettleTime || waited >= maxSettleTime)
}

// leaveQuota ends the allocation at this node, which stops, and tells the others that it is no longer a member.
func (s *Sidecar) leaveQuota() {
	s.quota.Stop()
	for range stopRepeats {
		s.socket.SendOwnStop(s.roster.Addresses(maxStopAddresses), s.boot)
		time.Sleep(stopRepeatDelay)
	}
}

// writeQuotaGauges writes the members of the quotas, while the contracts limit a tenant.
func (s *Sidecar) writeQuotaGauges(w io.Writer) {
	tenants := s.quota.Limited()
	if tenants == 0 {
		return
	}
	known, reachable := s.quota.Members()
	fmt.Fprintf(w, "magnoliawharf_quota_tenants %d\n", tenants)
	fmt.Fprintf(w, "magnoliawharf_quota_members_known %d\n", known)
	fmt.Fprintf(w, "magnoliawharf_quota_members_reachable %d\n", reachable)
}
