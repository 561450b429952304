package quota

import "fmt"

// Describe returns a short text on what this node knows of the use of a tenant's quota, "" for a tenant without one. It takes no token.
func (n *Node) Describe(name string) string {
	t, limited := n.tenants.Get(name)
	if !limited {
		return ""
	}
	now := n.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	unused := t.tokens.count(now.Sub(n.start))
	switch first := t.allocator(now); {
	case now.Before(t.pending.holdUntil):
		return fmt.Sprintf("refused: the allocator had no token; %d unused tokens here", unused)
	case first.none:
		return fmt.Sprintf("no allocator is known; %d unused tokens here", unused)
	case first.isSelf() && t.bucket != nil:
		return fmt.Sprintf("allocated by this node, %.0f tokens left; %d unused tokens here", t.bucket.limiter.TokensAt(now), unused)
	case first.isSelf():
		return fmt.Sprintf("allocated by this node; %d unused tokens here", unused)
	default:
		return fmt.Sprintf("allocated by the node at %s; %d unused tokens here", first.member.addr, unused)
	}
}
