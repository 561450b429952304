package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/explain"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

const (
	// explainTimeout bounds the answer to one question. Load queries are answered or given up within milliseconds.
	explainTimeout = 2 * time.Second
	// maxOperatorConnections bounds the connections of the operator's listener.
	maxOperatorConnections = 16
)

// OperatorAddr returns the bound address of the operator's listener, "" when there is none.
func (s *Sidecar) OperatorAddr() string {
	if s.operator == nil {
		return ""
	}
	return s.operator.Addr()
}

// serveExplain answers the operator's question where a request would go. Neither errors nor log lines repeat the question, which may
// hold a key.
func (s *Sidecar) serveExplain(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != explain.Path {
		writeProblem(w, http.StatusNotFound, "unknown path")
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeProblem(w, http.StatusMethodNotAllowed, "use POST")
		return
	}
	var question explain.Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, explain.MaxQuestionBytes)).Decode(&question); err != nil {
		writeProblem(w, http.StatusBadRequest, "the question is not valid JSON, or too long")
		return
	}
	if err := question.Validate(); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	report, err := s.explain(ctx, question)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // after a failed write the operator asks again
}

// writeProblem answers a question that has no report.
func writeProblem(w http.ResponseWriter, status int, problem string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": problem})
}

// explain returns what this node would do with the request of a caller.
func (s *Sidecar) explain(ctx context.Context, q explain.Question) (*explain.Report, error) {
	r, err := previewRequest(q)
	if err != nil {
		return nil, err
	}
	report := &explain.Report{Node: s.Settings.Node, Zone: s.Settings.Zone, Contracts: s.explainContracts()}
	found, req := s.entry.Preview(r)
	if found.Contracts != nil {
		report.Contracts.Version = found.Contracts.Version
	}
	if refusal := s.refuseArrival(); refusal != nil {
		found.Refusal = refusal
	}
	if found.Route != nil {
		report.Route = s.explainRoute(found, r)
	}
	if found.Tenant != "" {
		report.Tenant = s.explainTenant(found.Contracts.Tenants[found.Tenant])
	}
	if found.Refusal != nil {
		report.Refusal = explainRefusal(found.Refusal)
		return report, nil
	}
	report.Services = s.explainSplit(ctx, found.Route, req)
	return report, nil
}

// explainSplit explains what would happen to the request at each service of the route's split.
func (s *Sidecar) explainSplit(ctx context.Context, route *contract.Route, req *caller.Request) (services []explain.Service) {
	total := 0
	for _, part := range route.Split {
		total += part.Weight
	}
	for _, part := range route.Split[:min(len(route.Split), explain.MaxServices)] {
		forPart := *req
		forPart.Service = part.Service
		service := explainService(s.dispatcher.Explain(ctx, &forPart, route))
		service.Name, service.Weight, service.Share = part.Service, part.Weight, float64(part.Weight)/float64(max(1, total))
		services = append(services, service)
	}
	return services
}

// previewRequest returns the request that the question describes. Its body consists of zeros.
func previewRequest(q explain.Question) (*http.Request, error) {
	target, err := url.ParseRequestURI(q.Path)
	if err != nil {
		return nil, errors.New("the path is not valid")
	}
	r := &http.Request{Method: q.Method, Host: q.Host, URL: target, Header: http.Header{}, Body: http.NoBody, ContentLength: q.Size}
	if q.Size > 0 {
		r.Body = io.NopCloser(io.LimitReader(zeros{}, q.Size))
	}
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+string(q.Key))
	}
	return r, nil
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func (s *Sidecar) explainContracts() explain.Contracts {
	state := explain.Contracts{Strict: s.proofs != nil, Fresh: s.isCurrent()}
	if s.proofs != nil {
		if age, proven := s.proofs.proof.Age(); proven {
			state.ProofAge = new(milliseconds(age))
		}
	}
	return state
}

func (s *Sidecar) explainRoute(found entryhttp.Match, r *http.Request) *explain.Route {
	route := found.Route
	return &explain.Route{
		Name: route.Name, Rule: string(route.Rule), Priority: route.Priority, Rank: route.Priority + found.PriorityOffset(),
		Objective: milliseconds(route.LatencyObjective), TimeLimit: milliseconds(s.entry.TimeLimit(r, route)), Public: route.Public,
	}
}

func (s *Sidecar) explainTenant(t contract.Tenant) *explain.Tenant {
	tenant := &explain.Tenant{Name: t.Name, Priority: t.Priority, Quota: explain.Quota{PerSecond: t.Quota.PerSecond, Burst: t.Quota.Burst}}
	tenant.Quota.State = s.quota.Describe(t.Name)
	return tenant
}

func explainRefusal(refusal *caller.Refusal) *explain.Refusal {
	status, after := entryhttp.Response(refusal)
	return &explain.Refusal{Reason: string(refusal.Reason), Status: status, RetryAfter: milliseconds(after)}
}

func explainService(found entry.Explanation) explain.Service {
	service := explain.Service{
		ServiceTime: milliseconds(found.ServiceTime), AnswerWithin: milliseconds(found.AnswerWithin), Placement: explain.Refuse,
		HedgeAfter: milliseconds(found.HedgeAfter), HedgeNode: found.HedgeNode, NoHedge: found.NoHedge,
	}
	chosen := found.Survey.Chosen
	switch {
	case found.Refusal != nil:
		service.Refusal = explainRefusal(found.Refusal)
	case chosen.Queues():
		service.Placement = explain.Queue
	default:
		service.Placement = explain.Send
	}
	if found.Refusal == nil {
		service.Chosen, service.Late = chosen.Status.Node, chosen.Cost > found.AnswerWithin
	}
	service.Nodes, service.Omitted = explainNodes(found.Survey.Nodes)
	return service
}

// explainNodes describes up to explain.MaxNodes nodes, those that were compared first, and returns the number of the others.
func explainNodes(nodes []peer.Surveyed) (described []explain.Node, omitted int) {
	described = []explain.Node{} // encoded as an empty list, not as null
	if omitted = max(0, len(nodes)-explain.MaxNodes); omitted > 0 {
		nodes = slices.Clone(nodes)
		slices.SortStableFunc(nodes, func(a, b peer.Surveyed) int { return listRank(b) - listRank(a) })
		nodes = nodes[:explain.MaxNodes]
	}
	for _, n := range nodes {
		described = append(described, explainNode(n))
	}
	return described, omitted
}

// listRank orders nodes where not all are listed: compared nodes have the higher rank.
func listRank(n peer.Surveyed) int {
	if n.Compared {
		return 1
	}
	return 0
}

func explainNode(n peer.Surveyed) explain.Node {
	node := explain.Node{
		Name: n.Status.Node, Zone: n.Status.Zone, Upstream: n.Status.Upstream, Running: n.Load.Running, Waiting: n.Load.Waiting,
		Limit: n.Load.Limit, Pace: n.Load.ServiceTimePercent, Expected: milliseconds(n.Cost), Compared: n.Compared, LeftOut: n.Reasons(),
	}
	if n.LoadAge >= 0 {
		node.LoadAge = new(milliseconds(n.LoadAge))
	}
	if n.Limit.Named {
		node.RateLimit, node.RateLeft = new(n.Limit.PerSecond), new(n.Limit.Available)
	}
	return node
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
