package bundle

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key or refusal reason that the operators' reference page does not list.
func TestPageListsEveryKeyAndReason(t *testing.T) {
	raw, err := os.ReadFile("../docs/bundle.md")
	assert.NilError(t, err)
	page := string(raw)
	for _, table := range []any{sourceService{}, sourceClass{}, sourceRoute{}} {
		for field := range reflect.TypeOf(table).Fields() {
			row := "| `" + field.Tag.Get("toml") + "` |"
			assert.Check(t, strings.Contains(page, row), "no row %s", row)
		}
	}
	for _, kind := range refusalTypes {
		assert.Check(t, strings.Contains(page, "`"+reasonOf(kind)+"`"), "no reason %s", reasonOf(kind))
	}
}
