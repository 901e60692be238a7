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
	eventTimeout = 60 * time.Second     // for an event that a test needs
	pollInterval = 5 * time.Millisecond // for conditions that have no channel

	maxFirstLines = 50 // lines of a process that a failing test shows
)

// buildPrograms builds the commands fernlanding and fernrelay, and returns the directory of the
// programs.
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
	cmd        *exec.Cmd
	lines      chan string   // lines of both outputs; lines are dropped while the channel is full
	exited     chan struct{} // closed when the process has exited
	firstLines []string      // first lines of both outputs; may be read only after exited is closed
}

// startProgram runs a program until the test ends.
func startProgram(tb testing.TB, path string, args ...string) *process {
	tb.Helper()
	p := &process{cmd: exec.Command(path, args...), lines: make(chan string, 1000), exited: make(chan struct{})}
	out, in, err := os.Pipe()
	if err != nil {
		tb.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	_ = in.Close() // the process has its own descriptor
	go func() {
		defer close(p.exited)
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			if len(p.firstLines) < maxFirstLines {
				p.firstLines = append(p.firstLines, scanner.Text())
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
			tb.Logf("%s %v:\n%s", filepath.Base(path), args, strings.Join(p.firstLines, "\n"))
		}
	})
	return p
}

// kill ends the process with SIGKILL, as in a crash, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// waitForLine waits for a line that contains a text, and returns the line.
func (p *process) waitForLine(tb testing.TB, text string) string {
	tb.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-p.exited:
			tb.Fatalf("process exited without a line with %q", text)
		case <-timeout:
			tb.Fatalf("no line with %q after %v", text, eventTimeout)
		}
	}
}

// waitForListenAddress waits until a relay or source logs that it is listening, and returns its
// address.
func (p *process) waitForListenAddress(tb testing.TB) string {
	tb.Helper()
	_, address, _ := strings.Cut(p.waitForLine(tb, "listening "), "listening ")
	return address
}

// waitUntil polls until a condition holds.
func waitUntil(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(eventTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition does not hold after %v: %s", eventTimeout, what)
		}
	}
}

// freeAddress returns an address at which nothing is listening. Its port is below the ephemeral
// ports, because on a busy machine another connection could take an ephemeral port before the
// address is used.
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

// serviceConfig returns the lines of an application's file for a service with an idempotent class,
// and for a route to the service. source is the lines that configure the source of its endpoint
// list.
func serviceConfig(name, source string) string {
	return fmt.Sprintf("[services.%[1]s]\n%[2]s[services.%[1]s.classes.look]\nrepeat = \"safe\"\n", name, source) +
		fmt.Sprintf("[[routes]]\nname = %[1]q\nprefix = \"/%[1]s\"\nservice = %[1]q\n", name)
}
