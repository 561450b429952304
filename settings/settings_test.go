package settings_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/settings"
)

const valid = `
id = "kgl-a-1"
data_centre = "kgl-a"
region = "kigali"
trusted_keys = ["signer.pub"]
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
local = "127.0.0.1:8082"
[store]
endpoints = ["http://127.0.0.1:2379"]
[runtime]
memory_limit = "128MiB"
stop_timeout = "5s"
`

// Guards against values that are decoded wrongly and defaults that are not applied.
func TestParseValidSettings(t *testing.T) {
	parsed, err := settings.Parse("node.toml", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, parsed.ID, "kgl-a-1")
	assert.Equal(t, parsed.Runtime.MemoryLimit, settings.Size(128<<20))
	assert.Equal(t, time.Duration(parsed.Runtime.StopTimeout), 5*time.Second)
	assert.Equal(t, parsed.Runtime.GCPercent, settings.DefaultGCPercent)
}

// Guards against errors in a settings file that are not detected, and against messages that do not name the
// key, the value and what is permitted.
func TestParseReportsErrors(t *testing.T) {
	cases := map[string]struct {
		from, to string
		want     []string
	}{
		"unknown key":       {"region =", "regoin =", []string{"node.toml:4", "regoin", "unknown key"}},
		"missing key":       {"id = \"kgl-a-1\"", "", []string{`"id"`, "is required"}},
		"bad name":          {`"kgl-a-1"`, `"kgl a"`, []string{`"id"`, `"kgl a"`, "letters"}},
		"wrong type":        {`"kigali"`, `7`, []string{"region", "string"}},
		"bad port":          {"127.0.0.1:8080", "127.0.0.1:80800", []string{`"listen.callers"`, "127.0.0.1:80800", "65535"}},
		"not loopback":      {"127.0.0.1:8082", "0.0.0.0:8082", []string{`"listen.local"`, "loopback"}},
		"no trusted key":    {`["signer.pub"]`, `[]`, []string{`"trusted_keys"`, "at least 1"}},
		"no store or seed":  {`["http://127.0.0.1:2379"]`, `[]`, []string{`"store.endpoints"`, "seeds"}},
		"bad endpoint":      {`http://127.0.0.1:2379`, `127.0.0.1:2379`, []string{`"store.endpoints[0]"`, "URL"}},
		"bad size":          {`"128MiB"`, `"128 MB"`, []string{"128 MB", "MiB"}},
		"size out of range": {`"128MiB"`, `"1MiB"`, []string{`"runtime.memory_limit"`, `"1MiB"`, "at least"}},
		"bad duration":      {`"5s"`, `"5"`, []string{`"5"`, "500ms"}},
		"not TOML":          {"[listen]", "[listen", []string{"node.toml:6"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(valid, c.from, c.to, 1)
			assert.Assert(t, changed != valid)
			_, err := settings.Parse("node.toml", []byte(changed))
			assert.Assert(t, err != nil)
			for _, part := range c.want {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}
