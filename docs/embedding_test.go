package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const modulePath = "github.com/magnoliawharf/magnoliawharf/"

// embeddable are the packages that others embed.
var embeddable = []string{
	"shard", "instance", "datacentre", "link", "upstream", "caller", "idempotency", "quarantine", "bundle", "store", "node",
}

// namedPackages returns the folders that the text names as packages: those of the first column of the
// first table, those written with the module path, and those of go doc commands.
func namedPackages(text string) []string {
	var names []string
	for _, pattern := range []string{
		"(?m)^\\| `([a-z0-9/]+)` \\|", regexp.QuoteMeta(modulePath) + `([a-z0-9/]*[a-z0-9])`,
		"`((?:transport|store|standin)/[a-z0-9]+)`", "`([a-z0-9/]+)/example_test\\.go`",
	} {
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
			names = append(names, match[1])
		}
	}
	return names
}

// Guards against a package that embedding.md names and that was renamed or removed, and against one
// that others embed and the page leaves out.
func TestEmbeddingNamesExistingPackages(t *testing.T) {
	named := make(map[string]bool)
	for _, name := range namedPackages(page(t, "embedding.md")) {
		named[name] = true
		sources, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		assert.NilError(t, err)
		assert.Check(t, len(sources) > 0, "embedding.md names package %s, which does not exist", name)
	}
	for _, name := range embeddable {
		assert.Check(t, named[name], "embedding.md does not name package %s", name)
	}
}

// Guards against an exported name that embedding.md gives with its package and that does not exist.
func TestEmbeddingNamesExistingIdentifiers(t *testing.T) {
	text := page(t, "embedding.md")
	pattern := regexp.MustCompile(`\b(` + strings.Join(embeddable, "|") + `|peerrpc|settings)\.([A-Z]\w+)`)
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		folder := match[1]
		if folder == "peerrpc" {
			folder = "transport/peerrpc"
		}
		declaration := regexp.MustCompile(`(?m)^(?:func (?:\([^)]*\) )?|type |var |const |\t)` + match[2] + `\b`)
		assert.Check(t, declaration.MatchString(sources(t, folder, false)), "%s is not declared", match[0])
	}
}

// Guards against code on the page that does not compile or does not do what the page says: each block
// must be part of an example that runs.
func TestEmbeddingShowsTestedCode(t *testing.T) {
	blocks := regexp.MustCompile("(?s)```go\n(.*?)```").FindAllStringSubmatch(page(t, "embedding.md"), -1)
	assert.Assert(t, len(blocks) >= 6, "%d blocks of code", len(blocks))
	var examples strings.Builder
	for _, name := range embeddable {
		examples.WriteString(unindented(sources(t, name, true)))
	}
	for _, block := range blocks {
		first, _, _ := strings.Cut(block[1], "\n")
		assert.Check(t, strings.Contains(examples.String(), unindented(block[1])), "no example has the block that begins with %q", first)
	}
}

func unindented(code string) string {
	return regexp.MustCompile(`(?m)^[\t ]+`).ReplaceAllString(code, "")
}

// sources returns the code of one folder: its examples, or all files that are not tests.
func sources(t *testing.T, folder string, examples bool) string {
	t.Helper()
	var text strings.Builder
	err := fs.WalkDir(os.DirFS(".."), folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		if examples != strings.HasSuffix(path, "example_test.go") || !examples && strings.HasSuffix(path, "_test.go") {
			return nil
		}
		raw, err := os.ReadFile(filepath.Join("..", path))
		text.Write(raw)
		return err
	})
	assert.NilError(t, err)
	return text.String()
}
