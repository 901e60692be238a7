package config

import "testing"

// TestAddressesConflict checks pairs of addresses in both orders.
func TestAddressesConflict(t *testing.T) {
	for _, test := range []struct {
		a, b  string
		clash bool
	}{
		{"127.0.0.1:80", "127.0.0.1:80", true},
		{"127.0.0.1:80", "127.0.0.1:81", false},
		{"127.0.0.1:80", "127.0.0.2:80", false},
		{"0.0.0.0:80", "127.0.0.2:80", true},
		{"[::]:80", "127.0.0.2:80", true},
		{"127.0.0.1:0", "127.0.0.1:0", false},
		{"Localhost:80", "localhost:80", true},
		{"[::1]:80", "[0:0::1]:80", true},
		{"x", "x", false},
	} {
		got := AddressesConflict(test.a, test.b)
		if got != test.clash || AddressesConflict(test.b, test.a) != test.clash {
			t.Errorf("%s, %s: got %v, want %v", test.a, test.b, got, test.clash)
		}
	}
}
