package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/explain"
)

// Guards against columns that are not aligned, and against a state or a reason that the text leaves out.
func TestText(t *testing.T) {
	r := explain.Report{
		Node: "n1", Zone: "z", Contracts: explain.Contracts{Version: 3, Strict: true, ProofAge: new(float64(4700))},
		Route:  &explain.Route{Name: "r", Rule: "idempotent", Priority: 2, Rank: 14, Objective: 300, TimeLimit: 2000, Public: true},
		Tenant: &explain.Tenant{Name: "t", Quota: explain.Quota{PerSecond: 10, Burst: 5}},
		Services: []explain.Service{
			{Name: "a", Share: 0.75, ServiceTime: 52.4, AnswerWithin: 210, Placement: explain.Queue, Chosen: "n2", Late: true, HedgeAfter: 120, HedgeNode: "n10", Nodes: []explain.Node{
				{Name: "n10", Zone: "z", Upstream: "u10", Limit: 4, Pace: 100, LoadAge: new(1.25), RateLimit: new(14.0), RateLeft: new(-2.5), Expected: 900},
				{Name: "n2", Zone: "zone", Upstream: "u2", Running: 12, Limit: 4, Pace: 100, Expected: 250, Compared: true},
				{Name: "n3", Zone: "z", Upstream: "u3", LeftOut: []string{"left", "evacuated"}},
			}},
			{Name: "b", Share: 0.25, Placement: explain.Refuse, Refusal: &explain.Refusal{Reason: "no-upstream", Status: 503, RetryAfter: 200}},
		},
	}
	var text strings.Builder
	assert.NilError(t, r.WriteText(&text))
	assert.Equal(t, text.String(), `node       n1 in zone z
contracts  version 3, proven to be the newest 4.7s ago: too old, keys are refused
route      r, idempotent, priority 2 (rank 14 with the tenant's), objective 300ms, time limit 2s, public
tenant     t, priority 0, quota 10/s, burst 5, use not known here
split      one of 2 services is drawn for each request, by weight
service    a, 75% of the route, expected 52ms, answer within 210ms
outcome    sent to n2, queues there; the answer is expected too late, and that node may refuse
hedge      after 120ms at n10

  NODE  ZONE  UPSTREAM  RUN  WAIT  LIMIT  PACE  LOAD AGE  RATE  RATE LEFT  EXPECTED  STATE
  n10   z     u10       0    0     4      100%  1.3ms     14/s  -2.5       900ms     eligible
  n2    zone  u2        12   0     4      100%  -         -     -          250ms     chosen
  n3    z     u3        0    0     0      0%    -         -     -          0s        left, evacuated

service  b, 25% of the route, expected 0s, answer within 0s
outcome  refused: no-upstream, status 503, retry after 200ms
`)
}

// Guards against a key in a log line or an error.
func TestKeyIsRedacted(t *testing.T) {
	q := explain.Question{Key: "secret"}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		assert.Assert(t, !strings.Contains(fmt.Sprintf(verb, q)+fmt.Sprintf(verb, q.Key), "secret"), verb)
	}
}
