package docs_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against decisions that depend on the encoding of messages: another front end must be able to
// use the same code.
func TestDecisionsImportNoTransport(t *testing.T) {
	decisions := []string{
		"shard", "instance", "datacentre", "link", "bundle", "upstream", "caller", "idempotency", "quarantine", "store",
		"contract", "quota", "peer", "departure", "inbound", "entry", "inflight", "logs", "wait", "freshness", "explain",
	}
	forbidden := []string{"net/http", "connectrpc.com/", "google.golang.org/protobuf", "/transport", "/api/"}
	for _, folder := range decisions {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, folder)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, spec := range parsed.Imports {
				for _, part := range forbidden {
					assert.Check(t, !strings.Contains(spec.Path.Value, part), "%s imports %s", file, spec.Path.Value)
				}
			}
		}
	}
}

// Guards against names of the platform that spread beyond the adapter, and against an adapter that decides: only the
// wiring of the command line imports platform, and platform imports no part that decides beyond the types it fills.
func TestOnlyTheWiringKnowsThePlatform(t *testing.T) {
	const module = "github.com/magnoliawharf/magnoliawharf/"
	filled := map[string]bool{
		"bundle": true, "caller": true, "contract": true, "inbound": true, "sidecar": true, "store": true,
		"platform/wire": true, "sockopt": true, "transport/answerhead": true,
	}
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	deeper, err := filepath.Glob("../*/*/*.go")
	assert.NilError(t, err)
	for _, file := range append(files, deeper...) {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		assert.NilError(t, err)
		folder := filepath.Base(filepath.Dir(file))
		for _, spec := range parsed.Imports {
			path := strings.Trim(spec.Path.Value, `"`)
			switch {
			case strings.HasPrefix(path, module+"platform") && !strings.HasPrefix(file, "../platform/"):
				assert.Check(t, folder == "cli" || strings.HasSuffix(file, "_test.go"), "%s imports the platform", file)
			case folder == "platform" && strings.HasPrefix(path, module) && !strings.HasSuffix(file, "_test.go"):
				assert.Check(t, filled[strings.TrimPrefix(path, module)], "%s imports %s", file, path)
			}
		}
	}
}
