package bundle

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the tables and keys of a source to their line numbers.
type lineIndex struct {
	byPath map[string]int
	tables []tableLine // in source order
}

type tableLine struct {
	path string
	line int
}

// hasSyntaxError reports whether the source is not valid TOML.
func hasSyntaxError(source []byte) bool {
	var parser unstable.Parser
	parser.Reset(source)
	for parser.NextExpression() {
	}
	return parser.Error() != nil
}

// indexLines builds the line index of a source, up to the first syntax error.
func indexLines(source []byte) *lineIndex {
	var parser unstable.Parser
	parser.Reset(source)
	index := &lineIndex{byPath: make(map[string]int)}
	counts := make(map[string]int) // number of array tables so far, by path
	table, line, offset := "", 1, 0
	for parser.NextExpression() {
		expression := parser.Expression()
		path, start := pathOf(expression)
		line += bytes.Count(source[offset:max(offset, start)], []byte{'\n'})
		offset = max(offset, start)
		switch expression.Kind {
		case unstable.Table:
			table = path
			index.addTable(table, line)
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			index.addTable(table, line)
		case unstable.KeyValue:
			index.add(strings.TrimPrefix(table+"."+path, "."), line)
		}
	}
	return index
}

// pathOf returns the dotted key of an expression and the byte offset of its first segment.
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

func (l *lineIndex) add(path string, line int) {
	if _, ok := l.byPath[path]; !ok {
		l.byPath[path] = line
	}
}

func (l *lineIndex) addTable(path string, line int) {
	l.add(path, line)
	l.tables = append(l.tables, tableLine{path, line})
}

// tableAt returns the path of the table that contains the line, and the first line of that table.
func (l *lineIndex) tableAt(line int) (path string, firstLine int) {
	for _, table := range l.tables {
		if table.line <= line {
			path, firstLine = table.path, table.line
		}
	}
	return path, firstLine
}

// line returns the line of the key, or else of the innermost enclosing table that is known; 0 when there is none.
func (l *lineIndex) line(location Location) int {
	if line, ok := l.byPath[location.Table+"."+location.Key]; ok {
		return line
	}
	for table := location.Table; table != ""; {
		if line, ok := l.byPath[table]; ok {
			return line
		}
		table = table[:max(0, strings.LastIndexByte(table, '.'))]
	}
	return 0
}
