package peer

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Surveyed is a node of a service as Choose sees it for a request.
type Surveyed struct {
	Candidate
	Standing Standing
	// Compared reports whether the node is in the random sample that was compared. In another sample it may be another one.
	Compared bool
}

// Survey is what Choose would do with a request.
type Survey struct {
	Nodes  []Surveyed // all nodes of the service, by name
	Chosen Candidate  // when Err is nil
	Err    error      // as that of Choose
}

// Survey decides as Choose does, and returns what was decided and from what. It places no request; it only queries the loads that
// Choose would query.
func (r *Roster) Survey(ctx context.Context, need Criteria) Survey {
	now := time.Now()
	nodes := r.Service(need.Service)
	standings := make(map[*Peer]Standing, len(nodes)) // before the queries, as the sample is drawn
	for _, p := range nodes {
		standings[p] = r.standing(now, p, need)
	}
	sampled := r.sampleBy(need, func(p *Peer) Standing { return standings[p] })
	if len(sampled) > 0 {
		r.refreshLoads(ctx, now, sampled)
	}
	now = time.Now()
	choice, found := newChoice(), Survey{Nodes: make([]Surveyed, len(nodes))}
	for _, p := range sampled {
		choice.consider(r, r.estimate(now, p, need))
	}
	for i, p := range nodes {
		found.Nodes[i] = Surveyed{Candidate: r.estimate(now, p, need), Standing: standings[p], Compared: slices.Contains(sampled, p)}
	}
	slices.SortFunc(found.Nodes, func(a, b Surveyed) int {
		return cmp.Or(cmp.Compare(a.Status.Node, b.Status.Node), cmp.Compare(a.Status.Boot, b.Status.Boot))
	})
	found.Chosen, found.Err = choice.result()
	return found
}

// Queues reports whether a request sent to the candidate is expected to wait there, for a slot or for the rate limit.
func (c Candidate) Queues() bool { return c.LoadAge >= 0 && c.Load.excess() > 0 || c.LimitWait > 0 }

// Reasons returns why the node is left out, by its state before the queries or by their answers, nil for a node that may be chosen.
func (s Surveyed) Reasons() []string {
	var reasons []string
	for _, against := range []struct {
		holds bool
		name  string
	}{
		{s.Standing.NotServing || !s.Status.Serving && !s.Standing.Left, "not serving"},
		{s.Standing.Left, "left"},
		{s.Standing.Unresponsive, "unresponsive"},
		{s.Standing.Evacuated, "evacuated"},
		{s.Standing.Limited || s.limitTooLate, "rate-limited"},
		{s.Standing.Excluded, "tried before"},
	} {
		if against.holds {
			reasons = append(reasons, against.name)
		}
	}
	return reasons
}
