package bundle_test

import (
	"crypto/ed25519"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

const validSource = `[service.ledger]
key_lifetime = "5m"
[[service.ledger.class]]
name = "charge"
[[service.ledger.class]]
name = "report"
long = true
[[service.ledger.route]]
name = "charge"
method = "POST"
path_prefix = "/deposits"
class = "charge"
rule = "at-most-once"
[[service.ledger.route]]
name = "report"
class = "report"
`

// Guards against an invalid source that is accepted, or rejected without the position of the error.
func TestBadSources(t *testing.T) {
	cases := []struct {
		name     string
		old, new string // replacement in validSource
		kind     *errorx.Type
		place    string
	}{
		{"not TOML", "[service.ledger]", "[service.ledger", bundle.ErrSyntax, "b.toml:1"},
		{"unknown key", "long = true", "longer = true", bundle.ErrUnknownKey, "b.toml:7: service.ledger.class[1]: longer"},
		{"unknown table", "[service.ledger]", "[defaults]\na = 1\n[service.ledger]", bundle.ErrUnknownKey, "b.toml:1: defaults"},
		{"wrong type", "long = true", "long = 1", bundle.ErrWrongType, "b.toml:7: service.ledger.class[1]: long"},
		{"not a duration", `"5m"`, `"5 minutes"`, bundle.ErrWrongType, "b.toml:2: service.ledger: key_lifetime"},
		{"number for a duration", `"5m"`, `5`, bundle.ErrWrongType, "b.toml:2: service.ledger: key_lifetime"},
		{"duplicate service", "key_lifetime", "[service.x]\n[service.ledger]\nkey_lifetime", bundle.ErrDuplicateService, "b.toml:3: service.ledger"},
		{"duplicate key", "long = true", "long = true\nlong = true", bundle.ErrDuplicateName, "b.toml:8: service.ledger.class[1]: long"},
		{"duplicate class", `name = "report"`, `name = "charge"`, bundle.ErrDuplicateName, "b.toml:6: service.ledger.class[1]: name"},
		{"duplicate route", "name = \"report\"\nclass", "name = \"charge\"\nclass", bundle.ErrDuplicateName, "b.toml:15: service.ledger.route[1]: name"},
		{"undefined class", `class = "charge"`, `class = "none"`, bundle.ErrUndefinedClass, "b.toml:12: service.ledger.route[0]: class"},
		{"hedge on at-most-once", `rule = "at-most-once"`, "rule = \"at-most-once\"\nhedge = true", bundle.ErrContradiction, "b.toml:14: service.ledger.route[0]: hedge"},
		{"hedge on long class", `class = "report"`, "class = \"report\"\nmethod = \"GET\"\nhedge = true", bundle.ErrContradiction, "b.toml:18: service.ledger.route[1]: hedge"},
		{"timeout beyond key", `rule = "at-most-once"`, "rule = \"at-most-once\"\ntimeout = \"5m\"", bundle.ErrContradiction, "b.toml:14: service.ledger.route[0]: timeout"},
		{"key shorter than margin", `"5m"`, "\"5s\"\nclock_margin = \"3s\"", bundle.ErrContradiction, "b.toml:2: service.ledger: key_lifetime"},
		{"covered route", "name = \"report\"\nclass", "name = \"again\"\nmethod = \"POST\"\npath_prefix = \"/deposits/x\"\nclass", bundle.ErrContradiction, "b.toml:17: service.ledger.route[1]: path_prefix"},
		{"unknown rule", `"at-most-once"`, `"once"`, bundle.ErrOutOfRange, "b.toml:13: service.ledger.route[0]: rule"},
		{"unknown method", `"POST"`, `"Post"`, bundle.ErrOutOfRange, "b.toml:10: service.ledger.route[0]: method"},
		{"relative path", `"/deposits"`, `"deposits"`, bundle.ErrOutOfRange, "b.toml:11: service.ledger.route[0]: path_prefix"},
		{"value too large", "long = true", "priority = 16", bundle.ErrOutOfRange, "b.toml:7: service.ledger.class[1]: priority"},
		{"not a number", `"5m"`, "\"5m\"\nlong_share = nan", bundle.ErrOutOfRange, "b.toml:3: service.ledger: long_share"},
		{"half a millisecond", `"5m"`, `"5000.5ms"`, bundle.ErrOutOfRange, "b.toml:2: service.ledger: key_lifetime"},
		{"bad service name", "service.ledger", "service.Ledger", bundle.ErrOutOfRange, "b.toml:1: service.Ledger"},
		{"bad host", `"5m"`, "\"5m\"\nhosts = [\"A b\"]", bundle.ErrOutOfRange, "b.toml:3: service.ledger: hosts"},
		{"no class", "[[service.ledger.class]]\nname = \"charge\"\n[[service.ledger.class]]\nname = \"report\"\nlong = true\n", "", bundle.ErrMissing, "b.toml:1: service.ledger: class"},
		{"empty", validSource, "", bundle.ErrMissing, "b.toml: service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSource, c.old))
			_, err := bundle.Parse("b.toml", []byte(strings.ReplaceAll(validSource, c.old, c.new)))
			assert.Assert(t, bundle.Is(err, c.kind), "got %v", err)
			place, ok := bundle.LocationOf(err)
			assert.Assert(t, ok)
			assert.Equal(t, place.String(), c.place)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"))
		})
	}
}

// Guards against accepting two services with the same host, where map iteration order would select the service.
func TestHostOfTwoServices(t *testing.T) {
	two := strings.ReplaceAll(validSource, `"5m"`, "\"5m\"\nhosts = [\"h\"]")
	two += strings.ReplaceAll(two, "ledger", "second")
	_, err := bundle.Parse("b.toml", []byte(two))
	assert.Assert(t, bundle.Is(err, bundle.ErrDuplicateName), "got %v", err)
}

// Guards against changed defaults, above all a default rule that retries requests that are not idempotent.
func TestDefaults(t *testing.T) {
	contracts, err := bundle.Parse("b.toml", []byte(validSource))
	assert.NilError(t, err)
	c := contracts[0]
	assert.Equal(t, c.Routes[1].Rule, bundle.NotIdempotent)
	assert.Equal(t, c.Routes[1].PathPrefix, "/")
	assert.Equal(t, c.Classes[0].MaxWait, time.Second)
	assert.Equal(t, c.ClockMargin, 2*time.Second)
	assert.Equal(t, c.StoreOutage, 75*time.Minute)
	assert.Equal(t, c.KeyLifetime, 5*time.Minute)
}

// Guards against example files that Parse rejects, and against contracts that change when encoded and decoded.
func TestExamplesSurviveEncoding(t *testing.T) {
	files, err := filepath.Glob("../examples/*.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		contracts, err := bundle.Parse(file, source)
		assert.NilError(t, err)
		assert.Equal(t, len(contracts), 4)
		for _, c := range contracts {
			part, err := bundle.EncodePart(c)
			assert.NilError(t, err)
			decoded, err := bundle.DecodePart(part)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, c)
		}
	}
}

// Guards against using keys that are expired or missing, and key files that other users can read or that are malformed.
func TestKeyFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "key")
	expiry := time.Now().Add(time.Hour).UTC().Truncate(time.Second)
	key, err := bundle.GenerateKey(expiry)
	assert.NilError(t, err)
	assert.NilError(t, key.WriteFiles(path))
	assert.Assert(t, bundle.Is(key.WriteFiles(path), bundle.ErrKeyFile), "a key file must not be overwritten")
	read, err := bundle.ReadSigningKey(path)
	assert.NilError(t, err)
	trust, err := bundle.ReadTrustedKeys([]string{path + ".pub"})
	assert.NilError(t, err)
	assert.DeepEqual(t, trust, bundle.TrustedKeys{read.Public})
	assert.DeepEqual(t, read.Public, bundle.PublicKey{ID: bundle.KeyID(key.Public.Key), Key: ed25519.PublicKey(key.Public.Key), NotAfter: expiry})

	prepared, err := bundle.Prepare(parseValidSource(t), 1)
	assert.NilError(t, err)
	_, err = bundle.Approve(prepared, read, expiry)
	assert.Assert(t, bundle.Is(err, bundle.ErrKeyExpired), "got %v", err)
	_, err = bundle.Approve(prepared, nil, expiry)
	assert.Assert(t, bundle.Is(err, bundle.ErrNoKey), "got %v", err)

	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = bundle.ReadSigningKey(path)
	assert.Assert(t, bundle.Is(err, bundle.ErrKeyFile), "got %v", err)
	_, err = bundle.ReadSigningKey(path + ".none")
	assert.Assert(t, bundle.Is(err, bundle.ErrNoKey), "got %v", err)
	_, err = bundle.ReadPublicKey(path)
	assert.Assert(t, bundle.Is(err, bundle.ErrKeyFile), "got %v", err)
	_, err = bundle.ReadTrustedKeys(nil)
	assert.Assert(t, bundle.Is(err, bundle.ErrNoKey), "got %v", err)
}

func parseValidSource(t testing.TB) []*bundle.Contract {
	t.Helper()
	contracts, err := bundle.Parse("b.toml", []byte(validSource))
	assert.NilError(t, err)
	return contracts
}

// Guards against a source that makes the parser panic, or that is accepted although Prepare rejects its contracts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSource))
	f.Add([]byte("[service.a]\nhosts=['x']\n[[service.a.class]]\n[service]\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		contracts, err := bundle.Parse("b.toml", source)
		if err != nil {
			return
		}
		if _, err := bundle.Prepare(contracts, 1); err != nil && !bundle.Is(err, bundle.ErrTooLarge) {
			t.Fatalf("parsed, but not prepared: %v", err)
		}
	})
}
