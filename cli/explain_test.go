package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/explain"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

// Guards against a wrong exit code, an error that is not in the form asked for, and a key that is printed.
func TestSidecarExplain(t *testing.T) {
	const key = "key-0123456789"
	reports := map[string]explain.Report{
		"/ok":      {Node: "n1", Services: []explain.Service{{Name: "s", Placement: explain.Send, Chosen: "n2", NoHedge: "off", Nodes: []explain.Node{{Name: "n2", Compared: true}}}}},
		"/unknown": {Node: "n1", Refusal: &explain.Refusal{Reason: "unauthenticated", Status: 401}},
		"/none":    {Node: "n1", Refusal: &explain.Refusal{Reason: "no-route", Status: 404}},
		"/busy":    {Node: "n1", Refusal: &explain.Refusal{Reason: "draining", Status: 503}},
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q explain.Question
		assert.Check(t, json.NewDecoder(r.Body).Decode(&q) == nil && (q.Key == key || q.Key == ""))
		report, ok := reports[q.Path]
		if !ok {
			http.Error(w, "no JSON", http.StatusTeapot)
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer node.Close()
	file := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(file, []byte(key+"\n"), 0o600))
	address := strings.TrimPrefix(node.URL, "http://")
	for _, test := range []struct {
		arguments string
		code      int
		stdout    string
	}{
		{"--node " + address + " --host h --path /ok --key-file " + file, ExitOK, "n2"},
		{"--node " + address + " --host h --path /unknown --key-file " + file, ExitKey, "unauthenticated"},
		{"--node " + address + " --host h --path /none", ExitRoute, "no-route"},
		{"--node " + address + " --host h --path /busy", ExitOK, "draining"},
		{"--node " + address + " --host h --path /teapot --key-file " + file, ExitNode, ""},
		{"--node 127.0.0.1:1 --host h --path /ok --key-file " + file, ExitNode, ""},
		{"--node " + address + " --host h --path /ok --key-file " + file + "-missing", ExitKey, ""},
		{"--node " + address + " --host h --path no-slash", ExitUsage, ""},
		{"--node nowhere --host h --path /ok", ExitUsage, ""},
		{"--host h --path /ok", ExitUsage, ""},
	} {
		for _, format := range []string{outputText, outputJSON} {
			var stdout, stderr strings.Builder
			code := Run(append([]string{"sidecar", "explain", "--output", format}, strings.Fields(test.arguments)...), &stdout, &stderr)
			assert.Equal(t, code, test.code, "%s: %s", test.arguments, stderr.String())
			assert.Assert(t, strings.Contains(stdout.String(), test.stdout), stdout.String())
			assert.Assert(t, !strings.Contains(stdout.String()+stderr.String(), key))
			if format == outputJSON && code != ExitOK {
				var problem struct {
					Error string
					Code  int
				}
				assert.NilError(t, json.Unmarshal([]byte(stderr.String()), &problem))
				assert.Equal(t, problem.Code, code)
			}
			assert.Equal(t, strings.Count(stderr.String(), "\n"), min(code, 1), stderr.String())
		}
	}
}

// Guards against a report that is read from an answer without a valid head, as if the node had given it.
func TestExplainNeedsAValidHead(t *testing.T) {
	sockets.AssertInvalidHeadsRefused(t, "application/json", `{"node":"n1"}`, func(addr string) error {
		_, err := askNode(t.Context(), addr, explain.Question{})
		return err
	})
}
