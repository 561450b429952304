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

// bundleDesk is an operator's directory and store.
type bundleDesk struct {
	t      *testing.T
	dir    string
	url    string
	memory *kvstore.Memory
}

func newBundleDesk(t *testing.T) *bundleDesk {
	memory := kvstore.NewMemory()
	server := httptest.NewServer(kvstore.NewServer(memory))
	t.Cleanup(server.Close)
	d := &bundleDesk{t, t.TempDir(), server.URL, memory}
	d.write("s.toml", bundleSource)
	d.run(0, "keygen KEY")
	return d
}

func (d *bundleDesk) write(name, content string) {
	d.t.Helper()
	assert.NilError(d.t, os.WriteFile(filepath.Join(d.dir, name), []byte(content), 0o600))
}

// run runs a bundle command. Words in capitals stand for files and the store.
func (d *bundleDesk) run(code int, line string) (stdout, stderr string) {
	d.t.Helper()
	args := []string{"bundle"}
	for _, word := range strings.Fields(line) {
		switch {
		case word == "STORE":
			word = d.url
		case strings.ToUpper(word) == word && len(word) > 2:
			word = filepath.Join(d.dir, strings.ToLower(strings.ReplaceAll(word, "_", ".")))
		}
		args = append(args, word)
	}
	var out, errs bytes.Buffer
	assert.Equal(d.t, cli.Run(args, &out, &errs), code, "%s\n%s", line, errs.String())
	return out.String(), errs.String()
}

// Guards against a break anywhere between a source and the version in force.
func TestBundleFromSourceToStore(t *testing.T) {
	d := newBundleDesk(t)
	for _, line := range []string{
		"prepare S_TOML --store STORE --out NEXT",
		"approve NEXT --key KEY",
		"roll NEXT --store STORE --trust KEY_PUB",
		"roll NEXT --store STORE", // again, as after a crash
		"show NEXT",
		"show --store STORE --service ledger",
	} {
		d.run(0, line)
	}
	out, _ := d.run(0, "status --store STORE --output json")
	var status struct {
		Version  uint64
		Services int
		Changes  []struct{ Service string }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &status))
	assert.Equal(t, status.Version, uint64(1))
	assert.Equal(t, status.Services, 1)
	assert.Equal(t, status.Changes[0].Service, "ledger")
	d.write("s.toml", bundleSource+"timeout = \"9s\"\n")
	out, _ = d.run(0, "prepare S_TOML --store STORE --out NEXT")
	assert.Assert(t, strings.HasPrefix(out, "prepared version 2"), out)
}

// Guards against a failure without its exit code, on more than one line, or without what to do.
func TestBundleFailures(t *testing.T) {
	d := newBundleDesk(t)
	d.run(0, "prepare S_TOML --version 1 --out FIRST")
	d.run(0, "prepare S_TOML --version 3 --out THIRD")
	d.run(0, "prepare S_TOML --version 1 --out UNSIGNED")
	d.run(0, "approve FIRST --key KEY")
	d.run(0, "approve THIRD --key KEY")
	d.run(0, "keygen OTHER")
	d.run(0, "keygen SHORT --expires 1ns")
	d.write("bad.toml", strings.Replace(bundleSource, "charge\"\nrule", "none\"\nrule", 1))
	d.write("rival.toml", bundleSource+"timeout = \"9s\"\n")
	d.run(0, "prepare RIVAL_TOML --version 1 --out RIVAL")
	d.run(0, "approve RIVAL --key KEY")
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
		_, stderr := d.run(c.code, c.line)
		assert.Assert(t, strings.Contains(stderr, c.says), "%s: %s", c.line, stderr)
		if c.code != cli.ExitOK {
			assert.Equal(t, strings.Count(stderr, "\n"), 1, "%s: %s", c.line, stderr)
		}
	}
	d.memory.SetFaults(kvstore.Faults{Down: true})
	_, stderr := d.run(cli.ExitStore, "roll FIRST --store STORE --timeout 2s")
	assert.Assert(t, strings.Contains(stderr, "run the command again"), stderr)
}
