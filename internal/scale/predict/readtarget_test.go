package predict

import (
	"os"
	"strings"
	"testing"
)

const targetFile = "../../../deploy/scale/target.toml"

// readTestTarget returns the committed target.
func readTestTarget(tb testing.TB) *Target {
	tb.Helper()
	data, err := os.ReadFile(targetFile)
	if err != nil {
		tb.Fatal(err)
	}
	target, err := ReadTarget("target.toml", data)
	if err != nil {
		tb.Fatal(err)
	}
	return target
}

func TestReadTargetErrorsNamePositionAndField(t *testing.T) {
	data, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, replacement, want string }{
		{"format = 1", "format = 2", "t.toml:3"},
		{"proxies = 28_000", "proxies = 0", "target.proxies"},
		{"proxies = 28_000\n", "", "target.proxies"},
		{"services = 1_200", "services = 1_200\nservice = 3", "target.service"},
		{"[1, 2, 5", "[0, 2, 5", "curve.services_followed[1]"},
		{"[1, 2, 5", "[5, 2, 5", "ascending numbers expected"},
		{`name = "rack_backends"`, `name = "rack_backend"`, `did you mean "rack_backends"?`},
		{`name = "rack_backends"`, `name = "cut_seconds"`, "a unique assumption name expected"},
		{"[limits]", "[limits]\nspeed = 1", "limits.speed"},
	} {
		_, err := ReadTarget("t.toml", []byte(strings.Replace(string(data), test.old, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "t.toml:") {
			t.Errorf("%s: got error %v, want %s", test.replacement, err, test.want)
		}
	}
}

// FuzzReadTarget checks that ReadTarget returns either a target or an error.
func FuzzReadTarget(f *testing.F) {
	data, err := os.ReadFile(targetFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("format = 1\n[target]\nproxies = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		target, err := ReadTarget("t.toml", data)
		if (target == nil) == (err == nil) {
			t.Errorf("target %v and error %v, want exactly one of them", target, err)
		}
	})
}
