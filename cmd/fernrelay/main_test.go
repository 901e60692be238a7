package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// program is a running program.
type program struct {
	address string
	stop    context.CancelFunc
	code    chan int
	log     *bytes.Buffer
}

// start runs the program until it listens.
func start(t *testing.T, args ...string) *program {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	out, in := io.Pipe()
	p := &program{stop: cancel, code: make(chan int, 1), log: new(bytes.Buffer)}
	go func() {
		p.code <- run(ctx, args, in, p.log)
		_ = in.Close()
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	if _, scanErr := fmt.Sscanf(line, "listening %s\n", &p.address); scanErr != nil {
		t.Fatalf("%q, %v: %s", line, err, p.log)
	}
	t.Cleanup(cancel)
	return p
}

// end stops a program and checks that its exit code is 0.
func (p *program) end(t *testing.T) {
	t.Helper()
	p.stop()
	if code := <-p.code; code != 0 {
		t.Errorf("got exit code %d, want 0: %s", code, p.log)
	}
}

// A source and a relay start, distribute a write and end, even while a read waits. The source has
// the write after a restart.
func TestSourceAndRelay(t *testing.T) {
	state := t.TempDir()
	source := start(t, "source", "-listen", "127.0.0.1:0", "-state", state)
	relay := start(t, "relay", "-listen", "127.0.0.1:0", "-name", "relay-1", "-upstream", source.address)
	ctx := context.Background()
	client := httpapi.NewClient(nil)
	defer client.Close()
	version, err := client.Put(ctx, source.address, &distribution.PutRequest{
		Resource: "r",
		Items:    []distribution.Item{{Key: "a", Value: []byte("1")}},
	})
	if err != nil || version.Revision != 1 {
		t.Fatalf("%v, %v", version, err)
	}
	req := &distribution.FollowRequest{
		Follower:  "p",
		Kind:      distribution.KindProxy,
		HoldMs:    10_000,
		Positions: []distribution.Position{{Resource: "r"}},
	}
	first, err := client.Follow(ctx, relay.address, req)
	if err != nil {
		t.Fatal(err)
	}
	req.Session = first.Session
	if len(first.Updates) == 0 { // the relay did not have the resource yet
		second, err := client.Follow(ctx, relay.address, req)
		if err != nil || len(second.Updates) != 1 {
			t.Fatalf("%+v, %v", second, err)
		}
	}
	req.Positions = []distribution.Position{{Resource: "r", InForce: version}}
	waiting := make(chan error)
	go func() {
		_, err := client.Follow(ctx, relay.address, req)
		waiting <- err
	}()
	for {
		if stats, err := client.Stats(ctx, relay.address); err != nil || stats.WaitingReads == 1 {
			break
		}
	}
	relay.end(t)
	if err := <-waiting; err == nil {
		t.Error("a waiting read got a response from a relay that has ended")
	}
	source.end(t)
	again := start(t, "source", "-listen", "127.0.0.1:0", "-state", state)
	if u, err := client.Resource(ctx, again.address, "r"); err != nil || u.Version != version {
		t.Errorf("%+v, %v", u, err)
	}
	again.end(t)
}

// A program that can't run ends with exit code 2 and prints the reason.
func TestCannotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	relay := func(name, upstream string) []string {
		return []string{"relay", "-listen", "127.0.0.1:0", "-name", name, "-upstream", upstream}
	}
	for want, args := range map[string][]string{
		"source or relay required":            {},
		"flag":                                {"source", "-listen", "127.0.0.1:0"},
		"invalid address \"\": not host:port": relay("r", "127.0.0.1:1,"),
		"name of 0 bytes found":               relay("", "127.0.0.1:1"),
		"address already in use":              {"source", "-listen", l.Addr().String(), "-state", t.TempDir()},
		"not a directory":                     {"source", "-listen", "127.0.0.1:0", "-state", "/dev/null/state"},
	} {
		var log bytes.Buffer
		code := run(context.Background(), args, io.Discard, &log)
		if code != exitFailed || !strings.Contains(log.String(), want) {
			t.Errorf("%v: got exit code %d, want %d with %q: %s", args, code, exitFailed, want, log.String())
		}
	}
}
