package config

import (
	"bytes"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Step is one change of a migration.
type Step struct {
	Place tomldoc.Place // in the file as it was
	What  string
	Why   string
}

// String is the step as one line.
func (s Step) String() string { return fmt.Sprintf("%s: %s; %s", s.Place, s.What, s.Why) }

// edit puts a text in the place of some bytes.
type edit struct {
	at   tomldoc.Range
	text string
}

// Migrate writes a file of an older version in the newest one. Comments, order and all values stay; what has to be said
// that the older version left unsaid is said as it meant it. The error is a Faults with what the newest version refuses:
// then nothing that means the same can be written, and an operator has to decide.
func Migrate(file string, data []byte) (out []byte, steps []Step, err error) {
	d := Read(file, data)
	if d.App == nil {
		return nil, nil, d.refused()
	}
	if d.Version == Version {
		return data, nil, nil
	}
	m := migration{doc: d, data: data}
	m.run()
	out = m.apply()
	if d.crlf() {
		out = bytes.ReplaceAll(out, []byte("\r\n"), []byte("\n"))
		m.step(tomldoc.Place{File: file}, "lines end with LF", rules.Get(rules.FileCRLF).Why)
	}
	after := Read(file, out)
	if f := after.refused(); len(f) > 0 {
		return nil, nil, f
	}
	return out, m.steps, nil
}

func (d *Document) crlf() bool {
	return slices.ContainsFunc(d.Diagnostics, func(f Diagnostic) bool { return f.Rule == rules.FileCRLF })
}

type migration struct {
	doc   *Document
	data  []byte
	edits []edit
	steps []Step
}

func (m *migration) step(at tomldoc.Place, what, why string) {
	m.steps = append(m.steps, Step{at, what, why})
}

func (m *migration) run() {
	root, app := m.doc.root, m.doc.App
	v := root.Fields["version"]
	m.edits = append(m.edits, edit{v.Raw, fmt.Sprint(Version)})
	m.step(v.Place, fmt.Sprintf("version = %d", Version), "the format that the file is in from here on")
	if !IsName(app.Name) {
		name := nameOf(m.doc.File)
		if n := root.Fields["name"]; n != nil {
			m.edits = append(m.edits, edit{n.Raw, fmt.Sprintf("%q", name)})
		} else {
			m.edits = append(m.edits, edit{m.lineEnd(v.Raw.To), fmt.Sprintf("\nname = %q", name)})
		}
		m.step(v.Place, fmt.Sprintf("name = %q", name), "checks over many files tell applications apart by it; it is the file's name")
	}
	for _, s := range app.Services {
		for i, c := range s.Classes {
			if s.ClassPolicies[i].Idempotency != logic.IdempotentByKey {
				continue
			}
			class, _ := root.At("services", s.Name, "classes", c)
			m.add(class.Fields["repeat"], "key", DefaultKey)
			m.step(class.Place, fmt.Sprintf("services.%s.classes.%s.key = %q", s.Name, c, DefaultKey), "what version 1 took for granted stands in the file")
		}
	}
}

// add puts a field with a string behind another of the same table.
func (m *migration) add(by *tomldoc.Value, field, value string) {
	text := fmt.Sprintf(", %s = %q", field, value)
	if by.Line.To > 0 { // on a line of its own: the same key with another last part
		prefix := string(m.data[by.Line.From:by.Last.From])
		begin := bytes.LastIndexByte(m.data[:by.Line.From], '\n') + 1
		indent := string(m.data[begin:by.Line.From])
		m.edits = append(m.edits, edit{m.lineEnd(by.Raw.To), fmt.Sprintf("\n%s%s%s = %q", indent, prefix, field, value)})
		return
	}
	m.edits = append(m.edits, edit{tomldoc.Range{From: by.Raw.To, To: by.Raw.To}, text})
}

// lineEnd is the empty range before the end of a line, behind a comment.
func (m *migration) lineEnd(from int) tomldoc.Range {
	end := len(m.data)
	if n := bytes.IndexByte(m.data[from:], '\n'); n >= 0 {
		end = from + n
	}
	if end > from && m.data[end-1] == '\r' {
		end--
	}
	return tomldoc.Range{From: end, To: end}
}

// apply makes the edits, which do not overlap.
func (m *migration) apply() []byte {
	slices.SortStableFunc(m.edits, func(a, b edit) int { return a.at.From - b.at.From })
	var out bytes.Buffer
	from := 0
	for _, e := range m.edits {
		out.Write(m.data[from:e.at.From])
		out.WriteString(e.text)
		from = e.at.To
	}
	out.Write(m.data[from:])
	return out.Bytes()
}

// nameOf makes a name of a file's.
func nameOf(file string) string {
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	name = strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.' {
			return r
		}
		return '-'
	}, name)
	if len(name) > maxNames {
		name = name[:maxNames]
	}
	if name == "" || name == "." {
		name = "application"
	}
	return name
}
