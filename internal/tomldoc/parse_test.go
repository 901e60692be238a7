package tomldoc

import (
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/rules"

	"github.com/pelletier/go-toml/v2"
)

// TestNestingInStringsIsIgnored checks that brackets and dots in comments and in all kinds of
// strings do not count as nesting.
func TestNestingInStringsIsIgnored(t *testing.T) {
	deep := strings.Repeat("[", 40)
	for text, valid := range map[string]bool{
		"a = " + deep + strings.Repeat("]", 40):                                                 false,
		"a = '" + deep + "'":                                                                    true,
		"a = \"" + deep + "\\\"" + deep + "\"":                                                  true,
		"a = \"\"\"" + deep + "\"\n\\\"\"\"\"":                                                  true,
		"a = '''" + deep + "'\n" + deep + "'''":                                                 true,
		"a = 1 # " + deep:                                                                       true,
		"a = ''\nb = " + deep + strings.Repeat("]", 40):                                         false,
		"a = '''x''''\nb = " + deep + strings.Repeat("]", 40):                                   false,
		"a = \"\\\\\"\nb = " + deep + strings.Repeat("]", 40):                                   false,
		strings.Repeat("a.", 40) + "a = 1":                                                      false,
		"a = \"" + strings.Repeat("a.", 40) + "\"":                                              true,
		"[" + strings.Repeat("a.", 40) + "a]":                                                   false,
		"a = [1.5,2.5,3.5,4.5,1.5,2.5,3.5,4.5,1.5,2.5,3.5,4.5,1.5,2.5,3.5,4.5,1.5,2.5,3.5,4.5]": true,
	} {
		if _, faults := Parse("f", []byte(text)); (len(faults) == 0) != valid {
			t.Errorf("%q: %v", text, faults)
		}
	}
}

// TestMaximalNestingIsReported checks that a file of the maximum size that consists of nesting is
// rejected by the scanner at a depth far below the one that exhausts the stack.
func TestMaximalNestingIsReported(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("[", MaxFile), "a=" + strings.Repeat("{a=", MaxFile/3-1), strings.Repeat("a.", MaxFile/2),
	} {
		v, faults := Parse("f", []byte(text))
		if v != nil || len(faults) != 1 || len(faults[0].Report()) > 500 {
			t.Errorf("got %v, %.300v", v != nil, faults)
		}
	}
}

// TestDefinitionsAndNumbersAsInGoTOML compares the checks of duplicate definitions and of the
// syntax of numbers with the decoder of go-toml.
func TestDefinitionsAndNumbersAsInGoTOML(t *testing.T) {
	for _, text := range []string{
		"[a]\n[a]", "[a.b]\n[a]", "[a]\n[a.b]", "[a.b]\n[a]\n[a.b]", "a.b = 1\n[a]", "a.b = 1\na.c = 2",
		"a.b = 1\n[a.c]", "a = 1\na.b = 2", "a = {}\n[a.b]", "a = {}\na.b = 1", "a = { b = 1, b = 2 }",
		"a = { b.c = 1, b.d = 2 }", "a = { b.c = 1, b = 2 }", "[[a]]\n[[a]]", "[a]\n[[a]]", "[[a]]\n[a]",
		"[[a]]\n[a.b]\n[a.b]", "[[a]]\n[a.b]\n[[a]]\n[a.b]", "a = []\n[[a]]", "a = [{}]\n[a.b]",
		"[a.b.c]\n[a]\nb.c.d = 1", "[a.b.c]\n[a]\nb.d = 1", "[a.b]\nc.d = 1\n[a.b.c]",
		"[a.b]\nc.d = 1\n[a.b.c.e]", "[[a.b]]\n[a]\nb.c = 1", "[a]\nb = 1\n[a.b]", "[a]\n[[a.b]]\n[a.b]",
		"[a.b.c]\n[a]\nb.d = 1\n[a.b]", "[a.b.c]\n[[a.b]]", "[[a.b.c]]\n[a.b]\n[a]", "a = 01", "a = 0x1_f",
		"a = 0x_f", "a = 1_", "a = 1__0", "a = +0", "a = -0x1", "a = 0b2", "a = 9223372036854775807",
		"a = 9223372036854775808", "a = -9223372036854775808", "a = 0o7", "a = 0o8", "a = 1.", "a = .1",
		"a = 1.0e1", "a = 1e+1", "a = 1e1.0", "a = 01.0", "a = 1_0.0_1", "a = 1._0", "a = inf", "a = +nan",
		"a = 1E5", "a = 0e0", "a = 1e0_1",
	} {
		var plain map[string]any
		err := toml.Unmarshal([]byte(text), &plain)
		v, faults := Parse("f", []byte(text))
		if (v == nil) != (err != nil) {
			t.Errorf("%q: got %v, go-toml returns %v", text, faults, err)
		}
		if v != nil {
			compare(t, v, plain, len(text))
		}
	}
}

// FuzzParse checks that the tree equals the result of go-toml's decoder, and that every value has a
// valid place.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"a = 1\n[b.c]\nd = [1, { e = 'x' }]\n[[f]]\ng = 1.5\n[[f]]\ng.h = true", "a = \"\"\"\n\"\"\"",
		"\"a\\nb\" = 2026-12-01", "a = [[[]]]", "a={b={c={}}}", "'' = ''", "[a]\n[a.b]\n[[a.c]]\n[a.c.d]",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v, faults := Parse("f", data)
		var plain map[string]any
		err := toml.Unmarshal(data, &plain)
		if v == nil {
			checkFaults(t, faults, err)
			return
		}
		if err != nil {
			if !hasDate(v) { // dates are not checked
				t.Fatalf("got a value, but go-toml returns %v", err)
			}
			return
		}
		compare(t, v, plain, len(data))
		compare(t, v.Clone(), plain, len(data))
	})
}

// checkFaults checks the diagnostics of a rejected document. goTOML is the error of go-toml's
// decoder for the document.
func checkFaults(t *testing.T, faults Diagnostics, goTOML error) {
	t.Helper()
	if len(faults) == 0 {
		t.Fatal("got neither a value nor a diagnostic")
	}
	isSyntax := true
	for _, d := range faults {
		if strings.ContainsAny(d.Report()+d.Error(), "\n\r") {
			t.Fatalf("diagnostic has several lines: %q", d.Report())
		}
		isSyntax = isSyntax && (d.Rule == rules.Syntax || d.Rule == rules.DoubleField)
	}
	if isSyntax && goTOML == nil {
		t.Fatalf("document rejected, but go-toml decodes it: %v", faults)
	}
}

// hasDate reports whether a value is or contains a date or time.
func hasDate(v *Value) bool {
	for _, field := range v.Fields {
		if hasDate(field) {
			return true
		}
	}
	return v.Kind == DateTime || slices.ContainsFunc(v.Items, hasDate)
}

// compare compares a value with the value from go-toml's decoder. size is the size of the document
// in bytes.
func compare(t *testing.T, v *Value, plain any, size int) {
	t.Helper()
	if v.Place.Line < 1 || v.Place.Col < 1 || v.Raw.From < 0 || v.Raw.To > size || v.Last.To > size {
		t.Fatalf("invalid place %+v or range %+v", v.Place, v.Raw)
	}
	switch plain := plain.(type) {
	case map[string]any:
		if v.Kind != Table || len(v.Keys) != len(plain) {
			t.Fatalf("got %v with %d keys, want a table with %d", v.Kind, len(v.Keys), len(plain))
		}
		for name, field := range plain {
			if v.Fields[name] == nil {
				t.Fatalf("missing field %q", name)
			}
			compare(t, v.Fields[name], field, size)
		}
	case []any:
		if v.Kind != Array || len(v.Items) != len(plain) {
			t.Fatalf("got %v with %d items, want an array with %d", v.Kind, len(v.Items), len(plain))
		}
		for i, item := range plain {
			compare(t, v.Items[i], item, size)
		}
	case string:
		if v.Kind != String || v.Text != plain {
			t.Fatalf("got %v %q, want string %q", v.Kind, v.Text, plain)
		}
	}
}
