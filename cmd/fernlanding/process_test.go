package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	eventTimeout = 60 * time.Second     // of a test's wait for an event that must come
	pollInterval = 5 * time.Millisecond // of what has no channel

	maxKeptLines = 50 // of a process, which a failing test shows
)

// buildPrograms builds commands of the module, and returns the directory that has them.
func buildPrograms(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir()
	build := exec.Command("go", "build", "-o", dir, "fernlanding/cmd/fernlanding", "fernlanding/cmd/fernrelay")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// process is a running program of the module.
type process struct {
	cmd   *exec.Cmd
	lines chan string // of both of its outputs; those without room are dropped
	ended chan struct{}
	kept  []string // its first lines; to be read once it has ended
}

// startProgram runs a program until the test ends.
func startProgram(tb testing.TB, path string, args ...string) *process {
	tb.Helper()
	p := &process{cmd: exec.Command(path, args...), lines: make(chan string, 1000), ended: make(chan struct{})}
	out, in, err := os.Pipe()
	if err != nil {
		tb.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	_ = in.Close() // the process has its own
	go func() {
		defer close(p.ended)
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			if len(p.kept) < maxKeptLines {
				p.kept = append(p.kept, scanner.Text())
			}
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		_ = out.Close()
		_ = p.cmd.Wait()
	}()
	tb.Cleanup(func() {
		p.kill()
		if tb.Failed() {
			tb.Logf("%s %v:\n%s", filepath.Base(path), args, strings.Join(p.kept, "\n"))
		}
	})
	return p
}

// kill ends the process as a crash would.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// line waits for a line that contains a text, and returns it.
func (p *process) line(tb testing.TB, text string) string {
	tb.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-p.ended:
			tb.Fatalf("it ended without a line with %q", text)
		case <-timeout:
			tb.Fatalf("no line with %q", text)
		}
	}
}

// listening returns the address at which a relay or source logs that it listens.
func (p *process) listening(tb testing.TB) string {
	tb.Helper()
	_, address, _ := strings.Cut(p.line(tb, "listening "), "listening ")
	return address
}

// waitUntil waits for something that has no channel.
func waitUntil(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(eventTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("never: %s", what)
		}
	}
}

// freeAddress returns an address that nothing listens at now, below the ports that connections are
// opened from: on a busy machine one of these would be another's by the time that it is used.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	const firstPort, ports, attempts = 10_000, 20_000, 100
	for range attempts {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	tb.Fatal("no free port")
	panic("unreachable")
}

// serviceText returns the lines of an application's file for a service with an idempotent class and
// the route to it; source is the lines that say where its list comes from.
func serviceText(name, source string) string {
	return fmt.Sprintf("[services.%[1]s]\n%[2]s[services.%[1]s.classes.look]\nrepeat = \"safe\"\n", name, source) +
		fmt.Sprintf("[[routes]]\nname = %[1]q\nprefix = \"/%[1]s\"\nservice = %[1]q\n", name)
}
