package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node"
)

// startSource starts a source that keeps writes in memory only, and returns the address.
func startSource(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := node.New(node.Config{Name: "source", Epoch: 1, Persist: func(*distribution.Update) error { return nil }})
	server := httpapi.NewServer(n)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		n.Close()
		<-served
	})
	return l.Addr().String()
}

// reportPosition reports the position of a proxy once.
func reportPosition(t *testing.T, address, name string, p distribution.Position) {
	t.Helper()
	c := httpapi.NewClient(nil)
	defer c.Close()
	req := &distribution.FollowRequest{
		Follower:  name,
		Kind:      distribution.KindProxy,
		HoldMs:    distribution.MaxHoldMs,
		Positions: []distribution.Position{p},
	}
	if _, err := c.Follow(context.Background(), address, req); err != nil {
		t.Fatal(err)
	}
}

// put writes a version, status lists the proxies that lack the version with the reason, and wait
// waits until the version is in force, each with its exit code.
func TestRollout(t *testing.T) {
	address := startSource(t)
	file := filepath.Join(t.TempDir(), "items.json")
	const items = `{"replace":true,"items":[{"key":"b1","value":{"address":"127.0.0.1:1"}}]}`
	if err := os.WriteFile(file, []byte(items), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, "no version found", "rollout", "status", "-from", address, "service-a")
	version := strings.TrimSpace(expect(t, 0, "1.1", "rollout", "put", "-to", address, "service-a", file))
	expect(t, 0, "0 of 0 proxies", "rollout", "status", "-from", address, "service-a")

	// After a failure of relays no proxy is known for a while. This must not count as in force
	// everywhere.
	expect(t, 1, "0 of 0 proxies", "rollout", "wait", "-timeout", "300ms", "-from", address, "service-a", version)
	expect(t, 0, "0 of 0 proxies", "rollout", "wait", "-proxies", "0", "-from", address, "service-a", version)

	first := distribution.Version{Epoch: 1, Revision: 1}
	reportPosition(t, address, "p1", distribution.Position{Resource: "service-a", InForce: first})
	expect(t, 0, "1 of 1 proxies", "rollout", "wait", "-from", address, "service-a", version)
	expect(t, 1, "1 of 1 proxies",
		"rollout", "wait", "-timeout", "300ms", "-proxies", "2", "-from", address, "service-a", version)
	reportPosition(t, address, "p2", distribution.Position{Resource: "service-a"})
	expect(t, 1, "p2 has none yet", "rollout", "wait", "-timeout", "300ms", "-from", address, "service-a", version)
	reportPosition(t, address, "p2", distribution.Position{Resource: "service-a", Rejected: first, Reason: "no zone"})
	expect(t, 1, "p2 refuses version 1.1: no zone", "rollout", "wait", "-from", address, "service-a", version)
	expect(t, 1, "1 of 2 proxies have the latest version, 1.1", "rollout", "status", "-from", address, "service-a")
	expect(t, 1, `"refusals":[{"follower":"p2"`, "rollout", "status", "-json", "-from", address, "service-a")
}

// An invalid command line and an unreachable address end with exit code 2. A version conflict ends
// with exit code 1.
func TestRolloutFailures(t *testing.T) {
	address := startSource(t)
	file := filepath.Join(t.TempDir(), "items.json")
	if err := os.WriteFile(file, []byte(`{"expected":"7.7","items":[{"key":"b1","value":1}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "not written: service-a: version 0.0 found, 7.7 expected",
		"rollout", "put", "-to", address, "service-a", file)
	if err := os.WriteFile(file, []byte(`{"items":[{"key":"b1"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, "value of 0 bytes found", "rollout", "put", "-to", address, "service-a", file)
	expect(t, 2, "whole number", "rollout", "wait", "-from", address, "service-a", "x.1")
	expect(t, 2, "got 1 arguments, want RESOURCE VERSION", "rollout", "wait", "-from", address, "service-a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, "rollout status: "+closedAddress, "rollout", "status", "-from", closedAddress, "service-a")
	expect(t, 2, "rollout wait: "+closedAddress,
		"rollout", "wait", "-timeout", "300ms", "-from", closedAddress, "service-a", "1.1")
}
