package config

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// MigrationStep is one change of a migration.
type MigrationStep struct {
	Place tomldoc.Place // place in the file before the migration
	What  string        // new text or form
	Why   string        // reason of the step
}

// String returns the step as one line.
func (s MigrationStep) String() string { return fmt.Sprintf("%s: %s; %s", s.Place, s.What, s.Why) }

// Migrate converts a file of an older version to the newest version, and returns the steps of the
// conversion. Comments, order and all values stay. Fields that only the newest version requires are
// added with the values that the older version implies. The error is of type tomldoc.Diagnostics
// and has the violations of the newest version. In that case no equivalent file exists, and an
// operator has to decide.
func Migrate(file string, data []byte) (migrated []byte, steps []MigrationStep, err error) {
	d := Read(file, data)
	if d.App == nil {
		return nil, nil, d.rejecting(d.Diagnostics)
	}
	if d.Version == FormatVersion {
		return data, nil, nil
	}
	m := migration{doc: d, data: data}
	m.setVersion()
	m.setName()
	m.setKeys()
	migrated = m.applyEdits()
	if d.hasCRLF() {
		migrated = bytes.ReplaceAll(migrated, []byte("\r\n"), []byte("\n"))
		m.addStep(tomldoc.Place{File: file}, "end lines with LF", rules.Get(rules.FileCRLF).Why)
	}
	after := Read(file, migrated)
	if diagnostics := after.rejecting(after.Diagnostics); len(diagnostics) > 0 {
		return nil, nil, diagnostics
	}
	return migrated, m.steps, nil
}

// hasCRLF reports whether lines of the file end with CR LF.
func (d *Document) hasCRLF() bool {
	return slices.ContainsFunc(d.Diagnostics, func(diagnostic tomldoc.Diagnostic) bool {
		return diagnostic.Rule == rules.FileCRLF
	})
}

// edit is the replacement of a range of bytes by a text.
type edit struct {
	at   tomldoc.Range
	text string
}

// migration collects the edits and steps for a file.
type migration struct {
	doc   *Document
	data  []byte
	edits []edit
	steps []MigrationStep
}

// addStep adds a step.
func (m *migration) addStep(at tomldoc.Place, what, why string) {
	m.steps = append(m.steps, MigrationStep{Place: at, What: what, Why: why})
}

// replace adds an edit.
func (m *migration) replace(at tomldoc.Range, text string) {
	m.edits = append(m.edits, edit{at: at, text: text})
}

// setVersion replaces the version of the format.
func (m *migration) setVersion() {
	version := m.doc.root.Fields["version"]
	m.replace(version.Raw, fmt.Sprint(FormatVersion))
	m.addStep(version.Place, fmt.Sprintf("version = %d", FormatVersion), "the newest version of the format")
}

// setName adds the application's name, or replaces an invalid name.
func (m *migration) setName() {
	if IsName(m.doc.App.Name) {
		return
	}
	root := m.doc.root
	version := root.Fields["version"]
	name := nameOfFile(m.doc.File)
	if old := root.Fields["name"]; old != nil {
		m.replace(old.Raw, fmt.Sprintf("%q", name))
	} else {
		m.replace(m.endOfLine(version.Raw.To), fmt.Sprintf("\nname = %q", name))
	}
	m.addStep(version.Place, fmt.Sprintf("name = %q", name),
		"checks of several files identify an application by its name; derived from the name of the file")
}

// setKeys adds the field key, the header field with the idempotency key, to all keyed classes.
func (m *migration) setKeys() {
	root := m.doc.root
	for _, s := range m.doc.App.Services {
		for i, name := range s.Classes {
			if s.ClassPolicies[i].Idempotency != logic.IdempotentByKey {
				continue
			}
			class, _ := root.Lookup("services", s.Name, "classes", name)
			m.addField(class.Fields["repeat"], "key", DefaultKey)
			m.addStep(class.Place, fmt.Sprintf("services.%s.classes.%s.key = %q", s.Name, name, DefaultKey),
				"the key that version 1 implies")
		}
	}
}

// addField adds a field with a string value after another field of the same table.
func (m *migration) addField(after *tomldoc.Value, field, value string) {
	if after.Line.To == 0 { // the table is inline
		m.replace(tomldoc.Range{From: after.Raw.To, To: after.Raw.To}, fmt.Sprintf(", %s = %q", field, value))
		return
	}
	// The new line has the same indentation and the same key except for the last part.
	prefix := string(m.data[after.Line.From:after.Last.From])
	lineStart := bytes.LastIndexByte(m.data[:after.Line.From], '\n') + 1
	indent := string(m.data[lineStart:after.Line.From])
	m.replace(m.endOfLine(after.Raw.To), fmt.Sprintf("\n%s%s%s = %q", indent, prefix, field, value))
}

// endOfLine returns the empty range before the line ending of the line at an offset, after a
// comment in the line.
func (m *migration) endOfLine(offset int) tomldoc.Range {
	end := len(m.data)
	if n := bytes.IndexByte(m.data[offset:], '\n'); n >= 0 {
		end = offset + n
	}
	if end > offset && m.data[end-1] == '\r' {
		end--
	}
	return tomldoc.Range{From: end, To: end}
}

// applyEdits returns the file with all edits applied. Edits must not overlap.
func (m *migration) applyEdits() []byte {
	slices.SortStableFunc(m.edits, func(a, b edit) int { return a.at.From - b.at.From })
	var file bytes.Buffer
	from := 0
	for _, e := range m.edits {
		file.Write(m.data[from:e.at.From])
		file.WriteString(e.text)
		from = e.at.To
	}
	file.Write(m.data[from:])
	return file.Bytes()
}

// nameOfFile returns a valid application name that is derived from the name of a file.
func nameOfFile(file string) string {
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	name = strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r) {
			return r
		}
		return '-'
	}, name)
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	if name == "" || name == "." {
		return "application"
	}
	return name
}
