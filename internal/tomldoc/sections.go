package tomldoc

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Section is a part of a TOML document: either the lines before the first header, or a header with
// the lines below it.
type Section struct {
	Path []string // path of the header's table; empty before the first header
	Text []byte   // slice of the document's bytes
}

// Sections splits a document that Parse accepts into its sections, in order. The texts of all
// sections together are the document.
func Sections(data []byte) []Section {
	var sections []Section
	var path []string
	start := 0
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable {
			continue
		}
		nextPath, next := headerOf(expression, data)
		sections = append(sections, Section{Path: path, Text: data[start:next]})
		path, start = nextPath, next
	}
	return append(sections, Section{Path: path, Text: data[start:]})
}

// headerOf returns the path of a header, and the offset at which the header's line starts.
func headerOf(expression *unstable.Node, data []byte) (path []string, start int) {
	key := expression.Key()
	for key.Next() {
		node := key.Node()
		if len(path) == 0 {
			start = bytes.LastIndexByte(data[:node.Raw.Offset], '\n') + 1
		}
		path = append(path, string(node.Data))
	}
	return path, start
}
