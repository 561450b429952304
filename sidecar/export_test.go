package sidecar

import (
	"net/netip"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Permit is permit, for tests of whole nodes.
func (s *Sidecar) Permit(req *caller.Request) *caller.Refusal { return s.permit(req) }

// CutDatagrams ends the exchange of datagrams with all other nodes.
func (s *Sidecar) CutDatagrams() { _ = s.socket.Close() }

// HeardNodes returns the datagram addresses of the other nodes that answer.
func (s *Sidecar) HeardNodes() []netip.AddrPort { return s.roster.FirstInZone(s.roster.Len()) }
