package tomldoc

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Section is a part of a TOML document: the lines before its first header, or a header with the
// lines below it.
type Section struct {
	Path []string // of the header's table; empty: before the first header
	Text []byte   // a part of the document's bytes
}

// Sections divides a document that Parse accepts into its sections, in order. Together they are the
// document.
func Sections(data []byte) []Section {
	var sections []Section
	var path []string
	begin := 0
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable {
			continue
		}
		nextPath, next := headerOf(expression, data)
		sections = append(sections, Section{Path: path, Text: data[begin:next]})
		path, begin = nextPath, next
	}
	return append(sections, Section{Path: path, Text: data[begin:]})
}

// headerOf returns the path of a header, and the offset at which its line begins.
func headerOf(expression *unstable.Node, data []byte) (path []string, begin int) {
	key := expression.Key()
	for key.Next() {
		node := key.Node()
		if len(path) == 0 {
			begin = bytes.LastIndexByte(data[:node.Raw.Offset], '\n') + 1
		}
		path = append(path, string(node.Data))
	}
	return path, begin
}
