package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

func loadText(t *testing.T, text string, env map[string]string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, _, err := load(func(name string) string {
		if name == "LB_CONFIG" {
			return path
		}
		return env[name]
	})
	return cfg.Listen, err
}

func TestTheConfigurationIsRead(t *testing.T) {
	if listen, err := loadText(t, good, nil); err != nil || listen != "127.0.0.1:0" {
		t.Errorf("got %q, %v", listen, err)
	}
	bare := strings.Replace(good, `"listen":"127.0.0.1:0",`, "", 1)
	if listen, err := loadText(t, bare, map[string]string{"LB_LISTEN": "127.0.0.1:9"}); err != nil || listen != "127.0.0.1:9" {
		t.Errorf("got %q, %v", listen, err)
	}
}

func TestABadConfigurationIsOneLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{good, ``, "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, "listen or discovery"},
		{`8c1f30d27a5be964`, `sesame`, "seed"},
		{`"sockets":512`, `"sockets":-1`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known"},
		{`"name":"look",`, ``, "profiles[0].name"},
		{`"settings"`, `"setting"`, "settings is missing"},
		{`"automatic"`, `"never"`, "membership_mode"},
	} {
		_, err := loadText(t, strings.Replace(good, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v", c.new, c.old, err)
		}
	}
	if _, _, err := load(func(string) string { return "" }); err == nil {
		t.Error("no LB_CONFIG is no error")
	}
}

// After SIGHUP the file is read again; what makes no sense is logged and changes nothing.
func TestANewConfigurationNamesDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	var told, logged []string
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) { logged = append(logged, string(b)) }), nil))
	for _, text := range []string{good, good[:99], "", strings.Replace(good, "127.0.0.1:1", "127.0.0.1:2", 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		renew(func(string) string { return path }, func(addr string) { told = append(told, addr) }, log)
	}
	if len(told) != 2 || told[0] != "127.0.0.1:1" || told[1] != "127.0.0.1:2" {
		t.Errorf("told %q", told)
	}
	if len(logged) != 4 || !strings.Contains(logged[1], "not taken") || !strings.Contains(logged[2], "not taken") {
		t.Errorf("logged %q", logged)
	}
}

type writerFunc func([]byte)

func (f writerFunc) Write(b []byte) (int, error) { f(b); return len(b), nil }
