package main

import (
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
