package config

import (
	"strings"
	"testing"
)

// Files that differ in their heads alone have no changes.
func TestDiffOfHeads(t *testing.T) {
	text := strings.Replace(validFile, "version = 1", "version = 2\ngenerated = { sources = \"a\" }", 1)
	text = strings.Replace(text, `repeat = "keyed"`, "repeat = \"keyed\"\nkey = \"Idempotency-Key\"", 2)
	a := Read("f", []byte(text))
	b := Read("f", []byte(strings.Replace(text, `sources = "a"`, `sources = "b"`, 1)))
	if changes, headsDiffer := Diff(a, b); len(changes) > 0 || !headsDiffer {
		t.Errorf("got %v, %v", changes, headsDiffer)
	}
	if changes, headsDiffer := Diff(a, a); len(changes) > 0 || headsDiffer {
		t.Errorf("got %v, %v", changes, headsDiffer)
	}
}
