package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fernlanding/internal/config"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// After SIGHUP the file is read again; what makes no sense is one line in the log and changes nothing.
func TestANewConfigurationNamesDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	var told, logged []string
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) { logged = append(logged, string(b)) }), nil))
	take := func(app *config.App) error {
		told = append(told, app.Services[0].Source.Address)
		return nil
	}
	for _, text := range []string{good, good[:99], "", strings.Replace(good, "127.0.0.1:1", "127.0.0.1:2", 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reload(func() (*config.App, error) { return load("", func(string) string { return path }) }, take, log)
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

func noEnv(string) string { return "" }

// Stand-ins answer at the addresses that a file names, and at those of loopback alone.
func TestStandinsAnswerWhereAFileSays(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	name := filepath.Join(t.TempDir(), "a.toml")
	write := func(addr string) {
		text := fmt.Sprintf("version = 2\nname = \"a\"\nlisteners = [{ address = \"127.0.0.1:0\" }]\n[services.s]\nendpoints = [{ address = %q }]\nclasses = { c = { repeat = \"safe\" } }\n[[routes]]\nname = \"r\"\nservice = \"s\"\n", addr)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("192.0.2.1:80")
	if err := backends(t.Context(), []string{name}, io.Discard, io.Discard); err == nil || !strings.Contains(err.Error(), "no loopback address") {
		t.Errorf("got %v", err)
	}
	write(addr)
	ctx, stop := context.WithCancel(t.Context())
	said, ended := make(chan string, 10), make(chan error, 1)
	go func() {
		ended <- backends(ctx, []string{name}, writerFunc(func(b []byte) { said <- string(b) }), io.Discard)
	}()
	if first := <-said; !strings.Contains(first, addr) {
		t.Errorf("said %q", first)
	}
	resp, err := http.Get("http://" + addr + "/x")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	stop()
	if err := <-ended; err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %d, %v", resp.StatusCode, err)
	}
	var out bytes.Buffer
	if code := run([]string{"version"}, noEnv, &out, io.Discard); code != 0 || !strings.Contains(out.String(), config.Program) {
		t.Errorf("version: %d, %s", code, out.String())
	}
}

// What makes no sense is said in a line that names its place, and the program ends with 2.
func TestUsageAndConfigurationFaultsEndWith2(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nname = 7\nlistener = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "neither -config nor LB_CONFIG"},
		{[]string{"-config", bad}, bad + ":2:8: WRONG-TYPE: name: found 7: a string expected\n" + bad + ":3:12: UNKNOWN-FIELD: listener: unknown field; listeners meant?\n"},
		{[]string{"-config", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"-confg", bad}, "flag provided but not defined"},
		{[]string{"serve"}, `unknown argument "serve"`},
		{[]string{"try", "-load", "-1"}, "-load -1; 0 to 5000 expected"},
		{[]string{"try", "-load", "NaN"}, "-load NaN"},
		{[]string{"try", "-for", "1h"}, "-for 1h0m0s"},
		{[]string{"try", "-slow", "6", "-hang", "5"}, "0 to 10 backends"},
		{[]string{"try", "now"}, `unknown argument "now"`},
		{[]string{"standin"}, "the FILE of an application expected"},
		{[]string{"standin", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"standin", bad}, "WRONG-TYPE"},
	} {
		var log bytes.Buffer
		if got := run(c.args, noEnv, io.Discard, &log); got != exitUsage || !strings.Contains(log.String(), c.want) {
			t.Errorf("%q: ended with %d, %s", c.args, got, log.String())
		}
	}
}

// Every request of a try is accounted for, also under faults, and no effect happens twice.
func TestTryAccountsForEveryRequest(t *testing.T) {
	var out, log bytes.Buffer
	if got := run([]string{"try", "-load", "200", "-for", "3s", "-slow", "2", "-hang", "1", "-json", "-seed", "5"}, noEnv, &out, &log); got != 0 {
		t.Fatalf("ended with %d: %s", got, log.String())
	}
	var r tryReport
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	for _, c := range append(r.Classes, r.Total) {
		if c.Sent == 0 || c.Served == 0 || c.Served+c.Shed+c.Failed != c.Sent || c.Attempts < c.Served || c.P50 <= 0 {
			t.Errorf("got %+v", c)
		}
	}
	if r.Total.Sent != 600 || r.Twice != 0 {
		t.Errorf("%d sent, %d effects twice", r.Total.Sent, r.Twice)
	}
}

// The addresses that try prints work, until it is interrupted.
func TestTryServesUntilInterrupted(t *testing.T) {
	r, w := io.Pipe()
	ended := make(chan int, 1)
	go func() { ended <- run([]string{"try"}, noEnv, w, io.Discard); w.Close() }()
	var addr string
	if _, err := fmt.Fscanf(r, "sidecar  http://%s\n", &addr); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, r)
	resp, err := http.Get("http://" + addr + "/tariffs/7")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "GET /tariffs/7\n" {
		t.Errorf("got %s %q", resp.Status, body)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-ended:
		if got != 0 {
			t.Errorf("ended with %d", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("still there")
	}
}
