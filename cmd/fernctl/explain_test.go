package main

import (
	"encoding/json"
	"testing"
)

// explain prints a line for each part of the explanation or, with -json, valid JSON.
func TestExplainPrintsParts(t *testing.T) {
	file := "../../deploy/sidecar.example.toml"
	expect(t, 0, "never once it may have run", "explain", file, "POST", "http://h/v1/accounts/7/charges")
	expect(t, 0, "404 Not Found", "explain", file, "GET", "/nothing")
	// A header value may contain commas, and -H may precede or follow the arguments.
	expect(t, 0, "drops its repeats by Idempotency-Key",
		"explain", "-H", "Idempotency-Key: a,b", file, "POST", "/v1/usage")
	out := expect(t, 0, "lines", "explain", file, "POST", "/v1/usage", "-json", "-H", "Idempotency-Key: a,b")
	if !json.Valid([]byte(out)) {
		t.Errorf("invalid JSON: %s", out)
	}
	expect(t, 1, "SYNTAX", "explain", "main.go", "GET", "/")
}
