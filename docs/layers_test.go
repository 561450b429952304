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
