package main

import (
	"bufio"
	"bytes"
	"context"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// program is a run of the program.
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
	if _, scanned := fmt.Sscanf(line, "listening %s\n", &p.address); scanned != nil {
		t.Fatalf("%q, %v: %s", line, err, p.log)
	}
	t.Cleanup(cancel)
	return p
}

// end stops a program, and expects that it ends with 0.
func (p *program) end(t *testing.T) {
	t.Helper()
	p.stop()
	if code := <-p.code; code != 0 {
		t.Errorf("ended with %d: %s", code, p.log)
	}
}

// A source and a relay start, pass a write on, and end at a signal, also while a read waits.
func TestSourceAndRelay(t *testing.T) {
	state := t.TempDir()
	source := start(t, "source", "-listen", "127.0.0.1:0", "-state", state)
	relay := start(t, "relay", "-listen", "127.0.0.1:0", "-name", "relay-1", "-upstream", source.address)
	ctx := context.Background()
	client := httpapi.NewClient(nil)
	defer client.Close()
	version, err := client.Put(ctx, source.address, &distribution.PutRequest{Resource: "r", Items: []distribution.Item{{Key: "a", Value: []byte("1")}}})
	if err != nil || version.Revision != 1 {
		t.Fatalf("%v, %v", version, err)
	}
	req := &distribution.FollowRequest{Follower: "p", Kind: distribution.KindProxy, HoldMs: 10_000, Positions: []distribution.Position{{Resource: "r"}}}
	first, err := client.Follow(ctx, relay.address, req)
	if err != nil {
		t.Fatal(err)
	}
	if req.Session = first.Session; len(first.Updates) == 0 { // the relay had not got it yet
		if first, err = client.Follow(ctx, relay.address, req); err != nil || len(first.Updates) != 1 {
			t.Fatalf("%+v, %v", first, err)
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
		t.Error("a read is answered by a relay that has ended")
	}
	source.end(t)
	again := start(t, "source", "-listen", "127.0.0.1:0", "-state", state)
	if u, err := client.Resource(ctx, again.address, "r"); err != nil || u.Version != version {
		t.Errorf("%+v, %v", u, err)
	}
	again.end(t)
}

// What can't run ends with 2 and one line.
func TestCannotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for want, args := range map[string][]string{
		"one of source and relay expected": {},
		"flag":                             {"source", "-listen", "127.0.0.1:0"},
		"host:port expected":               {"relay", "-listen", "127.0.0.1:0", "-name", "r", "-upstream", "127.0.0.1:1,"},
		"name of 0 bytes found":            {"relay", "-listen", "127.0.0.1:0", "-name", "", "-upstream", "127.0.0.1:1"},
		"address already in use":           {"source", "-listen", l.Addr().String(), "-state", t.TempDir()},
		"not a directory":                  {"source", "-listen", "127.0.0.1:0", "-state", "/dev/null/state"},
	} {
		var log bytes.Buffer
		if code := run(context.Background(), args, io.Discard, &log); code != exitFailed || !strings.Contains(log.String(), want) {
			t.Errorf("%v: ended with %d: %s", args, code, log.String())
		}
	}
}
