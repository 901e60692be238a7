package config

import (
	"strings"
	"testing"
)

// TestDiffIgnoresProvenance checks that files that differ only in the provenance have no changes.
func TestDiffIgnoresProvenance(t *testing.T) {
	text := strings.Replace(validFile, "version = 1", "version = 2\ngenerated = { sources = \"a\" }", 1)
	text = strings.Replace(text, `repeat = "keyed"`, "repeat = \"keyed\"\nkey = \"Idempotency-Key\"", 2)
	a := Read("f", []byte(text))
	b := Read("f", []byte(strings.Replace(text, `sources = "a"`, `sources = "b"`, 1)))
	if changes, provenanceDiffers := Diff(a, b); len(changes) > 0 || !provenanceDiffers {
		t.Errorf("got %v, %v", changes, provenanceDiffers)
	}
	if changes, provenanceDiffers := Diff(a, a); len(changes) > 0 || provenanceDiffers {
		t.Errorf("got %v, %v", changes, provenanceDiffers)
	}
}
