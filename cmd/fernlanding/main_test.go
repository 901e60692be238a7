package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/config"
)

// validPlatformConfig is a valid configuration of the platform's proxy, with an unknown key.
const validPlatformConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// A reload applies a valid configuration. For an invalid one it logs one line and applies nothing.
func TestReloadAppliesValidConfigurations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	var applied, logged []string
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) { logged = append(logged, string(b)) }), nil))
	apply := func(app *config.App) error {
		applied = append(applied, app.Services[0].Source.Address)
		return nil
	}
	load := func() (*config.App, error) { return loadConfig("", func(string) string { return path }) }
	for _, text := range []string{
		validPlatformConfig, validPlatformConfig[:99], "",
		strings.Replace(validPlatformConfig, "127.0.0.1:1", "127.0.0.1:2", 1),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reload(load, apply, log)
	}
	if !slices.Equal(applied, []string{"127.0.0.1:1", "127.0.0.1:2"}) {
		t.Errorf("discovery addresses of the applied configurations: got %q", applied)
	}
	isRejection := func(line string) bool { return strings.Contains(line, "configuration rejected") }
	if len(logged) != 4 || !isRejection(logged[1]) || !isRejection(logged[2]) {
		t.Errorf("log: got %q, want 4 lines, of which the second and third are rejections", logged)
	}
}

// writerFunc is an io.Writer that calls a function with each write.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// noEnv looks up a variable in an empty environment.
func noEnv(string) string { return "" }

// Stand-ins listen at the backend addresses that a file names. Addresses other than loopback ones
// are refused.
func TestStandinsListenAtConfiguredAddresses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	name := filepath.Join(t.TempDir(), "a.toml")
	write := func(addr string) {
		text := "version = 2\nname = \"a\"\nlisteners = [{ address = \"127.0.0.1:0\" }]\n[services.s]\n" +
			fmt.Sprintf("endpoints = [{ address = %q }]\n", addr) +
			"classes = { c = { repeat = \"safe\" } }\n[[routes]]\nname = \"r\"\nservice = \"s\"\n"
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("192.0.2.1:80")
	err = runStandins(t.Context(), []string{name}, io.Discard, io.Discard)
	if err == nil || !strings.Contains(err.Error(), "not a loopback address") {
		t.Errorf("got error %v, want one for an address that is not loopback", err)
	}
	write(addr)
	ctx, stop := context.WithCancel(t.Context())
	printed, ended := make(chan string, 10), make(chan error, 1)
	go func() {
		ended <- runStandins(ctx, []string{name}, writerFunc(func(b []byte) { printed <- string(b) }), io.Discard)
	}()
	if first := <-printed; !strings.Contains(first, addr) {
		t.Errorf("first line: got %q, want one with %s", first, addr)
	}
	resp, err := http.Get("http://" + addr + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	stop()
	if err := <-ended; err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d and error %v, want 200 and none", resp.StatusCode, err)
	}
	var out bytes.Buffer
	code := run([]string{"version"}, noEnv, &out, io.Discard)
	if code != 0 || !strings.Contains(out.String(), config.ProgramVersion) {
		t.Errorf("version: got exit code %d and output %q, want 0 and version %s",
			code, out.String(), config.ProgramVersion)
	}
}

// For an invalid argument or configuration the program prints where the error is, and exits with 2.
func TestInvalidArgumentsAndConfigurationsExitWith2(t *testing.T) {
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
		{
			[]string{"-config", bad},
			bad + ":2:8: WRONG-TYPE: name: invalid value 7: must be a string\n" +
				bad + ":3:12: UNKNOWN-FIELD: listener: unknown field \"listener\"; did you mean \"listeners\"?\n",
		},
		{[]string{"-config", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"-confg", bad}, "flag provided but not defined"},
		{[]string{"serve"}, `unknown argument "serve"`},
		{[]string{"try", "-load", "-1"}, "invalid -load -1: must be 0 to 5000"},
		{[]string{"try", "-load", "NaN"}, "invalid -load NaN"},
		{[]string{"try", "-for", "1h"}, "invalid -for 1h0m0s"},
		{[]string{"try", "-slow", "6", "-hang", "5"}, "invalid -slow 6 -hang 5: must be 0 to 10 backends"},
		{[]string{"try", "now"}, `unknown argument "now"`},
		{[]string{"standin"}, "missing FILE of an application"},
		{[]string{"standin", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"standin", bad}, "WRONG-TYPE"},
	} {
		var log bytes.Buffer
		if got := run(c.args, noEnv, io.Discard, &log); got != exitUsage || !strings.Contains(log.String(), c.want) {
			t.Errorf("%q: got exit code %d and output %q, want 2 and %q", c.args, got, log.String(), c.want)
		}
	}
}

// Under faults, too, each request of a try is counted as served, shed or failed, and no effect
// happens twice.
func TestTryAccountsForEveryRequest(t *testing.T) {
	var out, log bytes.Buffer
	args := []string{"try", "-load", "200", "-for", "3s", "-slow", "2", "-hang", "1", "-json", "-seed", "5"}
	if got := run(args, noEnv, &out, &log); got != 0 {
		t.Fatalf("got exit code %d, want 0: %s", got, log.String())
	}
	var report tryReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	for _, c := range append(report.Classes, report.Total) {
		isAccounted := c.Served+c.Shed+c.Failed == c.Sent && c.Attempts >= c.Served
		if c.Sent == 0 || c.Served == 0 || !isAccounted || c.P50 <= 0 {
			t.Errorf("got %+v, want all requests accounted for and some served", c)
		}
	}
	if report.Total.Sent != 600 || report.DuplicateEffects != 0 {
		t.Errorf("got %d sent and %d duplicate effects, want 600 and 0", report.Total.Sent, report.DuplicateEffects)
	}
}

// The sidecar serves at the address that try prints, until the program is interrupted.
func TestTryServesUntilInterrupted(t *testing.T) {
	r, w := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		ended <- run([]string{"try"}, noEnv, w, io.Discard)
		_ = w.Close()
	}()
	var addr string
	if _, err := fmt.Fscanf(r, "sidecar  http://%s\n", &addr); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	resp, err := http.Get("http://" + addr + "/tariffs/7")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "GET /tariffs/7\n" {
		t.Errorf("got status %s and body %q", resp.Status, body)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-ended:
		if got != 0 {
			t.Errorf("got exit code %d, want 0", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("program has not returned after SIGINT")
	}
}
