package tomldoc

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Section is a part of a TOML document: the lines before its first header, or a header with the lines below it.
type Section struct {
	Path []string // of the header's table; empty: before the first header
	Text []byte   // a part of the document's bytes
}

// Sections divides a document that Parse takes into its sections, in its order. Together they are the document.
func Sections(data []byte) []Section {
	var sections []Section
	var path []string
	begin := 0
	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
			continue
		}
		next, header := headerOf(e, data)
		sections = append(sections, Section{path, data[begin:header]})
		path, begin = next, header
	}
	return append(sections, Section{path, data[begin:]})
}

// headerOf is the path of a header and where its line begins.
func headerOf(e *unstable.Node, data []byte) (path []string, begin int) {
	key := e.Key()
	for first := true; key.Next(); first = false {
		node := key.Node()
		if first {
			begin = bytes.LastIndexByte(data[:node.Raw.Offset], '\n') + 1
		}
		path = append(path, string(node.Data))
	}
	return path, begin
}
