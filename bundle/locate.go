package bundle

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lines holds the lines of the tables and keys of a source.
type lines struct {
	at     map[string]int
	tables []tableLine // in the order of the source
}

type tableLine struct {
	path string
	line int
}

// syntaxError reports whether the source is not TOML.
func syntaxError(source []byte) bool {
	var parser unstable.Parser
	parser.Reset(source)
	for parser.NextExpression() {
	}
	return parser.Error() != nil
}

// locate finds the lines of tables and keys, as far as the source is TOML.
func locate(source []byte) *lines {
	var parser unstable.Parser
	parser.Reset(source)
	found := &lines{at: make(map[string]int)}
	counts := make(map[string]int) // array tables seen, by path
	table, line, offset := "", 1, 0
	for parser.NextExpression() {
		expression := parser.Expression()
		path, at := pathOf(expression)
		line += bytes.Count(source[offset:max(offset, at)], []byte{'\n'})
		offset = max(offset, at)
		switch expression.Kind {
		case unstable.Table:
			table = path
			found.table(table, line)
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			found.table(table, line)
		case unstable.KeyValue:
			found.add(strings.TrimPrefix(table+"."+path, "."), line)
		}
	}
	return found
}

// pathOf returns the dotted key of an expression and the offset of its first part.
func pathOf(expression *unstable.Node) (path string, offset int) {
	var parts []string
	for key := expression.Key(); key.Next(); {
		if parts == nil {
			offset = int(key.Node().Raw.Offset)
		}
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, "."), offset
}

func (l *lines) add(path string, line int) {
	if _, ok := l.at[path]; !ok {
		l.at[path] = line
	}
}

func (l *lines) table(path string, line int) {
	l.add(path, line)
	l.tables = append(l.tables, tableLine{path, line})
}

// tableAt returns the table that the line belongs to and the line on which it begins.
func (l *lines) tableAt(line int) (path string, begins int) {
	for _, table := range l.tables {
		if table.line <= line {
			path, begins = table.path, table.line
		}
	}
	return path, begins
}

// line returns the line of the key, or else of its table or of the table around it; 0 when none is
// known.
func (l *lines) line(place Place) int {
	if line, ok := l.at[place.Table+"."+place.Key]; ok {
		return line
	}
	for table := place.Table; table != ""; {
		if line, ok := l.at[table]; ok {
			return line
		}
		table = table[:max(0, strings.LastIndexByte(table, '.'))]
	}
	return 0
}
