// Package docs_test compares the pages of this folder with the code.
package docs_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

func page(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(raw)
}

// Guards against a refusal reason, status or outcome that callers see and the page does not explain.
func TestCallersPageListsEveryReason(t *testing.T) {
	text := page(t, "callers.md")
	for _, reason := range caller.Reasons {
		row := regexp.MustCompile(fmt.Sprintf("(?m)^\\| `%s` \\| (\\d+) \\|", reason)).FindStringSubmatch(text)
		if !assert.Check(t, row != nil, "no row for %s", reason) {
			continue
		}
		ran := caller.Unknown
		if strings.Contains(text, fmt.Sprintf("| `%s` | %s | not-run", reason, row[1])) {
			ran = caller.NotRun
		}
		got := transport.StatusOf(&caller.Refusal{Reason: reason, Ran: ran})
		assert.Check(t, row[1] == fmt.Sprint(got), "%s: page says %s, code answers %d", reason, row[1], got)
	}
}

// Guards against a guarantee whose proof was renamed or removed.
func TestGuaranteesNameExistingTests(t *testing.T) {
	declared := declaredTests(t)
	for _, name := range regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`).FindAllString(page(t, "guarantees.md"), -1) {
		assert.Check(t, declared[name], "%s is named in guarantees.md and declared nowhere", name)
	}
}

func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	declared := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, match := range declaration.FindAllStringSubmatch(string(raw), -1) {
			declared[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	return declared
}
