package config

import (
	"strings"
	"testing"
)

// platformFile is a valid file of the platform.
const platformFile = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// TestPlatformFileIsDecoded checks the decoding of a file of the platform, in which fields of
// applications' files are ignored.
func TestPlatformFileIsDecoded(t *testing.T) {
	a, err := DecodePlatform("f", []byte(platformFile), "", "")
	if err != nil {
		t.Fatal(err)
	}
	s := a.Services[0]
	if a.Kind != Platform || a.Listeners[0].Address != "127.0.0.1:0" || a.Seed != 0x8c1f30d27a5be964 ||
		a.Process != (Process{Cores: 1, MemoryMB: 192, Sockets: 512}) || s.Source.Address != "127.0.0.1:1" ||
		s.KnownList.Version != 4 || s.Classes[0] != "look" || s.PassAllStatuses || s.Trusted {
		t.Errorf("got %+v, %+v", a, s)
	}
	withRelays := strings.Replace(platformFile, `"later":1,`,
		`"distribution":{"relays":["127.0.0.1:1"]},"membership":"relay",`, 1)
	a, err = DecodePlatform("f", []byte(withRelays), "", "")
	if err != nil || len(a.Distribution.Relays) > 0 || a.Services[0].Source.Kind != Catalog {
		t.Errorf("with relays: got %+v, %v", a, err)
	}
	withoutListen := strings.Replace(platformFile, `"listen":"127.0.0.1:0",`, "", 1)
	a, err = DecodePlatform("f", []byte(withoutListen), "127.0.0.1:9", "")
	if err != nil || a.Listeners[0].Address != "127.0.0.1:9" {
		t.Errorf("got %+v, %v", a, err)
	}
}

// TestInvalidPlatformFileIsOneLine checks that the error for an invalid file is one line.
func TestInvalidPlatformFileIsOneLine(t *testing.T) {
	for _, test := range []struct{ before, after, want string }{
		{platformFile, ``, "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, `missing field "listen" or "discovery"`},
		{`8c1f30d27a5be964`, `sesame`, "seed"},
		{`"sockets":512`, `"sockets":-1`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known"},
		{`"name":"look",`, ``, "profiles[0].name"},
		{`"settings"`, `"setting"`, `missing field "settings"`},
		{`"automatic"`, `"never"`, "membership_mode"},
	} {
		text := strings.Replace(platformFile, test.before, test.after, 1)
		_, err := DecodePlatform("f", []byte(text), "", "")
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v", test.after, test.before, err)
		}
	}
}

func FuzzDecodePlatform(f *testing.F) {
	f.Add([]byte(platformFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodePlatform("f", data, "127.0.0.1:0", "127.0.0.1:1")
		if err == nil && len(a.Services) != 1 {
			t.Fatalf("got %d services, want 1", len(a.Services))
		}
	})
}
