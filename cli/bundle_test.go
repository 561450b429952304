package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/cli"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

const bundleSource = `[service.ledger]
[[service.ledger.class]]
name = "charge"
[[service.ledger.route]]
name = "charge"
method = "POST"
class = "charge"
rule = "at-most-once"
`

// bundleEnv is the working directory of an operator and a store.
type bundleEnv struct {
	t      *testing.T
	dir    string
	url    string
	memory *kvstore.Memory
}

func newBundleEnv(t *testing.T) *bundleEnv {
	memory := kvstore.NewMemory()
	server := httptest.NewServer(kvstore.NewServer(memory))
	t.Cleanup(server.Close)
	e := &bundleEnv{t, t.TempDir(), server.URL, memory}
	e.write("s.toml", bundleSource)
	e.run(0, "keygen KEY")
	return e
}

func (e *bundleEnv) write(name, content string) {
	e.t.Helper()
	assert.NilError(e.t, os.WriteFile(filepath.Join(e.dir, name), []byte(content), 0o600))
}

// run runs a bundle command and checks its exit code. STORE stands for the URL of the store, and other words in capitals for
// files in the directory: S_TOML is s.toml.
func (e *bundleEnv) run(code int, line string) (stdout, stderr string) {
	e.t.Helper()
	args := []string{"bundle"}
	for _, word := range strings.Fields(line) {
		switch {
		case word == "STORE":
			word = e.url
		case strings.ToUpper(word) == word && len(word) > 2:
			word = filepath.Join(e.dir, strings.ToLower(strings.ReplaceAll(word, "_", ".")))
		}
		args = append(args, word)
	}
	var out, errs bytes.Buffer
	assert.Equal(e.t, cli.Run(args, &out, &errs), code, "%s\n%s", line, errs.String())
	return out.String(), errs.String()
}

// Guards against a failure anywhere between a source and the current version.
func TestBundleFromSourceToStore(t *testing.T) {
	e := newBundleEnv(t)
	for _, line := range []string{
		"prepare S_TOML --store STORE --out NEXT",
		"approve NEXT --key KEY",
		"roll NEXT --store STORE --trust KEY_PUB",
		"roll NEXT --store STORE", // a repeated roll must succeed, as after a crash
		"show NEXT",
		"show --store STORE --service ledger",
	} {
		e.run(0, line)
	}
	out, _ := e.run(0, "status --store STORE --output json")
	var status struct {
		Version  uint64
		Services int
		Changes  []struct{ Service string }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &status))
	assert.Equal(t, status.Version, uint64(1))
	assert.Equal(t, status.Services, 1)
	assert.Equal(t, status.Changes[0].Service, "ledger")
	e.write("s.toml", bundleSource+"timeout = \"9s\"\n")
	out, _ = e.run(0, "prepare S_TOML --store STORE --out NEXT")
	assert.Assert(t, strings.HasPrefix(out, "prepared version 2"), out)
}

// Guards against an error with the wrong exit code, on more than one line, or without advice.
func TestBundleFailures(t *testing.T) {
	e := newBundleEnv(t)
	e.run(0, "prepare S_TOML --version 1 --out FIRST")
	e.run(0, "prepare S_TOML --version 3 --out THIRD")
	e.run(0, "prepare S_TOML --version 1 --out UNSIGNED")
	e.run(0, "approve FIRST --key KEY")
	e.run(0, "approve THIRD --key KEY")
	e.run(0, "keygen OTHER")
	e.run(0, "keygen SHORT --expires 1ns")
	e.write("bad.toml", strings.Replace(bundleSource, "charge\"\nrule", "none\"\nrule", 1))
	e.write("rival.toml", bundleSource+"timeout = \"9s\"\n")
	e.run(0, "prepare RIVAL_TOML --version 1 --out RIVAL")
	e.run(0, "approve RIVAL --key KEY")
	cases := []struct {
		line string
		code int
		says string
	}{
		{"", cli.ExitUsage, "--help"},
		{"prepare S_TOML --out NEXT", cli.ExitUsage, "--version"},
		{"prepare S_TOML --version 1", cli.ExitUsage, "out"},
		{"prepare S_TOML --store nowhere --out NEXT", cli.ExitUsage, "not a URL"},
		{"show", cli.ExitUsage, "either FILE or --store"},
		{"prepare BAD_TOML --version 1 --out NEXT", cli.ExitBundle, "bad.toml:7: service.ledger.route[0]: class"},
		{"prepare NONE_TOML --version 1 --out NEXT", cli.ExitBundle, "no such file"},
		{"approve S_TOML --key KEY", cli.ExitBundle, "decode prepared bundle"},
		{"approve FIRST --key NONE", cli.ExitKey, "bundle keygen"},
		{"approve FIRST --key SHORT", cli.ExitKey, "expired"},
		{"keygen KEY", cli.ExitKey, "file exists"},
		{"roll UNSIGNED --store STORE", cli.ExitKey, "bundle approve"},
		{"roll FIRST --store STORE --trust OTHER_PUB", cli.ExitKey, "not trusted"},
		{"status --store STORE", cli.ExitVersion, "no bundle"},
		{"roll THIRD --store STORE", cli.ExitVersion, "cannot follow version 0"},
		{"roll FIRST --store STORE", cli.ExitOK, ""},
		{"roll RIVAL --store STORE", cli.ExitVersion, "version 1 is in force"},
		{"status --store http://127.0.0.1:1", cli.ExitStore, "check --store"},
	}
	for _, c := range cases {
		_, stderr := e.run(c.code, c.line)
		assert.Assert(t, strings.Contains(stderr, c.says), "%s: %s", c.line, stderr)
		if c.code != cli.ExitOK {
			assert.Equal(t, strings.Count(stderr, "\n"), 1, "%s: %s", c.line, stderr)
		}
	}
	e.memory.SetFaults(kvstore.Faults{Down: true})
	_, stderr := e.run(cli.ExitStore, "roll FIRST --store STORE --timeout 2s")
	assert.Assert(t, strings.Contains(stderr, "run the command again"), stderr)
}
