package sidecar_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/explain"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// ask posts the question to the path at the address and returns the status, the report and the raw answer.
func ask(t *testing.T, address string, q explain.Question) (int, explain.Report, string) {
	t.Helper()
	encoded, err := json.Marshal(q)
	assert.NilError(t, err)
	response, err := http.Post("http://"+address+explain.Path, "application/json", bytes.NewReader(encoded))
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var report explain.Report
	_ = json.Unmarshal(raw, &report) // stays empty when another listener answers
	return response.StatusCode, report, string(raw)
}

// Guards against an explanation of a running node that is not what happens to the request, that shows the key, or that strangers get at
// the listeners for callers and nodes.
func TestOperatorAsksWhereARequestWouldGo(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s", Tenants: map[string][]string{"t1": {tenantKey}}})
	machines := make([]*machine, 3)
	for i, name := range []string{"n1", "n2", "n3"} {
		machines[i] = startConfiguredMachine(t, name, memory, func(s *sidecar.Settings) {
			s.Revocation.Strict = true
			if name == "n3" {
				s.Listen.Operator = "127.0.0.1:0"
			}
		})
	}
	machines[0].announce(t)
	machines[1].announce(t)
	entry := machines[2]
	assert.Equal(t, machines[0].OperatorAddr(), "")

	question := explain.Question{Method: "GET", Host: "shop.example", Path: "/any/?q=1", Key: tenantKey}
	var report explain.Report
	var raw string
	eventually(t, "two upstreams known and keys admitted", 10*time.Second, func() bool {
		_, report, raw = ask(t, entry.OperatorAddr(), question)
		return report.Refusal == nil && len(report.Services) == 1 && len(report.Services[0].Nodes) == 2 && report.Services[0].Placement == explain.Send
	})
	service := report.Services[0]
	assert.Equal(t, report.Contracts.Version, uint64(1))
	assert.Assert(t, report.Contracts.ProofAge != nil && report.Contracts.Fresh)
	assert.Equal(t, report.Tenant.Name, "t1")
	assert.Assert(t, service.Chosen == "n1" || service.Chosen == "n2")
	assert.Assert(t, machines[0].runs.Load()+machines[1].runs.Load() == 0, "a request was sent")
	var text strings.Builder
	assert.NilError(t, report.WriteText(&text))
	t.Logf("\n%s", text.String())

	for name, test := range map[string]struct {
		change func(*explain.Question)
		status int
		reason string
	}{
		"unknown key":   {func(q *explain.Question) { q.Key = "unknown-0123456789" }, 401, "unauthenticated"},
		"no key":        {func(q *explain.Question) { q.Key = "" }, 401, "unauthenticated"},
		"unknown route": {func(q *explain.Question) { q.Host = "other.example" }, 404, "no-route"},
	} {
		changed := question
		test.change(&changed)
		_, report, answer := ask(t, entry.OperatorAddr(), changed)
		assert.Assert(t, report.Refusal != nil, name)
		assert.Equal(t, report.Refusal.Reason, test.reason, name)
		assert.Equal(t, report.Refusal.Status, test.status, name)
		raw += answer
	}
	for _, bad := range []explain.Question{
		{Method: "G T", Host: "h", Path: "/", Key: tenantKey}, {Method: "GET", Host: "h", Path: "no-slash", Key: tenantKey},
		{Method: "GET", Host: "h", Path: "/", Size: -1, Key: tenantKey}, {Method: "GET", Host: "h", Path: "/", Key: tenantKey + "\n"},
		{Method: "GET", Host: strings.Repeat("h", explain.MaxQuestionBytes), Path: "/", Key: tenantKey},
	} {
		status, _, answer := ask(t, entry.OperatorAddr(), bad)
		assert.Equal(t, status, http.StatusBadRequest)
		raw += answer
	}
	for _, address := range []string{entry.CallerAddr(), entry.PeerAddr(), entry.MetricsAddr(), entry.ReadyAddr()} {
		_, report, _ := ask(t, address, question)
		assert.Equal(t, report.Node, "", "%s serves explanations", address)
	}
	assert.Assert(t, !strings.Contains(raw, tenantKey) && !entry.log.contains(tenantKey))
}
