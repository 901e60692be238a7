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

// validPlatformConfig is a configuration of the platform's proxy.
const validPlatformConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// A reload applies a valid configuration; one that is invalid is one line in the log and changes
// nothing.
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
		t.Errorf("applied %q", applied)
	}
	isRejection := func(line string) bool { return strings.Contains(line, "configuration rejected") }
	if len(logged) != 4 || !isRejection(logged[1]) || !isRejection(logged[2]) {
		t.Errorf("logged %q", logged)
	}
}

// writerFunc is an io.Writer that calls a function with each write.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// noEnv is an environment without variables.
func noEnv(string) string { return "" }

// Stand-ins listen at the addresses that a file names, and at loopback addresses alone.
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
	if err == nil || !strings.Contains(err.Error(), "no loopback address") {
		t.Errorf("got %v", err)
	}
	write(addr)
	ctx, stop := context.WithCancel(t.Context())
	printed, ended := make(chan string, 10), make(chan error, 1)
	go func() {
		ended <- runStandins(ctx, []string{name}, writerFunc(func(b []byte) { printed <- string(b) }), io.Discard)
	}()
	if first := <-printed; !strings.Contains(first, addr) {
		t.Errorf("printed %q", first)
	}
	resp, err := http.Get("http://" + addr + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	stop()
	if err := <-ended; err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %d, %v", resp.StatusCode, err)
	}
	var out bytes.Buffer
	code := run([]string{"version"}, noEnv, &out, io.Discard)
	if code != 0 || !strings.Contains(out.String(), config.ProgramVersion) {
		t.Errorf("version: %d, %s", code, out.String())
	}
}

// An invalid argument or configuration is one line that names its place, and the program exits with
// 2.
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
			bad + ":2:8: WRONG-TYPE: name: found 7: a string expected\n" +
				bad + ":3:12: UNKNOWN-FIELD: listener: unknown field; listeners meant?\n",
		},
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
			t.Errorf("%q: exit code %d, %s", c.args, got, log.String())
		}
	}
}

// Every request of a try is accounted for, also under faults, and no effect happens twice.
func TestTryAccountsForEveryRequest(t *testing.T) {
	var out, log bytes.Buffer
	args := []string{"try", "-load", "200", "-for", "3s", "-slow", "2", "-hang", "1", "-json", "-seed", "5"}
	if got := run(args, noEnv, &out, &log); got != 0 {
		t.Fatalf("exit code %d: %s", got, log.String())
	}
	var report tryReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	for _, c := range append(report.Classes, report.Total) {
		isAccounted := c.Served+c.Shed+c.Failed == c.Sent && c.Attempts >= c.Served
		if c.Sent == 0 || c.Served == 0 || !isAccounted || c.P50 <= 0 {
			t.Errorf("got %+v", c)
		}
	}
	if report.Total.Sent != 600 || report.DuplicateEffects != 0 {
		t.Errorf("%d sent, %d effects twice", report.Total.Sent, report.DuplicateEffects)
	}
}

// The addresses that try prints work, until it is interrupted.
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
		t.Errorf("got %s %q", resp.Status, body)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-ended:
		if got != 0 {
			t.Errorf("exit code %d", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("it has not ended")
	}
}
