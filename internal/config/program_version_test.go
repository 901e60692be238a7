package config

import "testing"

// TestIsNewer checks the comparison of program versions, which consist of two numbers.
func TestIsNewer(t *testing.T) {
	for _, test := range []struct {
		a, b    string
		isNewer bool
		invalid bool
	}{
		{a: "0.3", b: "0.3"},
		{a: "0.10", b: "0.9", isNewer: true},
		{a: "1.0", b: "0.9", isNewer: true},
		{a: "0.9", b: "1.0"},
		{a: "1", b: "0.1", invalid: true},
		{a: "a.b", b: "0.1", invalid: true},
		{a: "1.-1", b: "0.1", invalid: true},
	} {
		got, err := IsNewer(test.a, test.b)
		if got != test.isNewer && !test.invalid || (err != nil) != test.invalid {
			t.Errorf("%s, %s: got %v, %v", test.a, test.b, got, err)
		}
	}
}
