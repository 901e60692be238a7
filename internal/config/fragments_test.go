package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"fernlanding/internal/config"
)

// TestJoinedFragmentsAreEquivalent checks that a file joined from its fragments is equivalent to
// the original file.
func TestJoinedFragmentsAreEquivalent(t *testing.T) {
	names, err := filepath.Glob("../../deploy/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		want, err := config.Decode(name, data)
		if err != nil {
			continue // a file of another format
		}
		checked++
		got, err := config.Decode(name, config.Join(config.Fragments(data)))
		if err != nil || !config.Equivalent(got, want) {
			t.Errorf("%s: joined file is not equivalent: %v", name, err)
		}
	}
	if checked == 0 {
		t.Error("no files checked")
	}
}

// TestFragmentKeys checks which sections each fragment has.
func TestFragmentKeys(t *testing.T) {
	text := "name = \"x\"\n# of the table\n" +
		"[services.a]\nn = \"\"\"\n[routes]\n\"\"\"\n[services.a.classes.c]\nx = 1\n" +
		"[[routes]]\ny = 1\n[services.\"b.c\"]\n[[routes]]\nz = 1"
	want := map[string]string{
		"head":         "name = \"x\"\n# of the table\n",
		"services/a":   "[services.a]\nn = \"\"\"\n[routes]\n\"\"\"\n[services.a.classes.c]\nx = 1\n",
		"services/b.c": "[services.\"b.c\"]\n",
		"table/routes": "[[routes]]\ny = 1\n[[routes]]\nz = 1\n",
	}
	got := config.Fragments([]byte(text))
	if len(got) != len(want) {
		t.Errorf("got %d fragments, want %d", len(got), len(want))
	}
	for key, fragment := range want {
		if string(got[key]) != fragment {
			t.Errorf("%s: got %q, want %q", key, got[key], fragment)
		}
	}
}

// FuzzFragments checks that fragments lose no bytes of the file.
func FuzzFragments(f *testing.F) {
	f.Add([]byte("a = 1\n[services.a]\nb = '''\n[x]\n'''\n[[routes]]\n"))
	f.Add([]byte("[services.a]\r\n[services]\n[[a.b]]\n[a.b.c]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fragments := config.Fragments(data)
		total := 0
		for _, text := range fragments {
			total += len(text)
		}
		if total < len(data) || total > len(data)+len(fragments)+len(data) {
			t.Errorf("fragments have %d bytes, file has %d", total, len(data))
		}
		if joined := config.Join(fragments); len(joined) != total {
			t.Errorf("joined file has %d bytes, fragments have %d", len(joined), total)
		}
	})
}
