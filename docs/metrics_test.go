package docs_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	_ "github.com/magnoliawharf/magnoliawharf/node"    // registers the counters of its packages
	_ "github.com/magnoliawharf/magnoliawharf/sidecar" // and of those on the users' platform
)

// Guards against a metric that the page leaves out, and against one on the page that no code has.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	declared := declaredMetrics(t)
	assert.Assert(t, len(declared) >= 20, "only %d metrics found in the code", len(declared))
	listed := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(magnoliawharf_[a-z_]+)`").FindAllStringSubmatch(page(t, "metrics.md"), -1) {
		listed[row[1]] = true
		assert.Check(t, declared[row[1]], "metrics.md lists %s, which no code has", row[1])
	}
	for name := range declared {
		assert.Check(t, listed[name], "metrics.md has no row for %s", name)
	}
}

// Guards against a refusal reason without advice, or without the link to what it means to callers.
func TestMetricsPageListsEveryReason(t *testing.T) {
	text := page(t, "metrics.md")
	for _, reason := range caller.Reasons {
		row := fmt.Sprintf("\n| [`%s`](callers.md#refusals) | ", reason)
		assert.Check(t, strings.Contains(text, row), "metrics.md has no linked row for reason %s", reason)
	}
	assert.Check(t, strings.Contains(page(t, "callers.md"), "\n## Refusals\n"), "the link has no target")
}

// Guards against a value of a label that the page leaves out.
func TestMetricsPageListsEveryLabelValue(t *testing.T) {
	text := page(t, "metrics.md")
	var written bytes.Buffer
	metrics.Write(&written)
	values := regexp.MustCompile(`(?m)^(magnoliawharf_\w+)\{(\w+)="([^"]+)"\}`).FindAllStringSubmatch(written.String(), -1)
	assert.Assert(t, len(values) > 2*len(caller.Reasons), "only %d values of labels are registered", len(values))
	for _, value := range values {
		assert.Check(t, strings.Contains(text, "`"+value[3]+"`"), "metrics.md lacks %s=%q of %s", value[2], value[3], value[1])
	}
}

// declaredMetrics returns the names in strings of the code: those of counters end in _total, those of
// gauges are written with their value.
func declaredMetrics(t *testing.T) map[string]bool {
	t.Helper()
	name := regexp.MustCompile("[\"`](magnoliawharf_[a-z_]+)[\"`{ ]")
	declared := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.HasPrefix(path, filepath.Join("..", "api")) {
			return nil // names of generated code
		}
		raw, err := os.ReadFile(path)
		for _, match := range name.FindAllSubmatch(raw, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	assert.NilError(t, err)
	return declared
}
