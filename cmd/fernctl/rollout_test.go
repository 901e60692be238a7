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

// startSource starts a source that has its writes in memory only, and returns its address.
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

// reportPosition reports the position of a proxy, once.
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

// A write, the proxies that lack it and why, and the wait for it, with their exit codes.
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

	// After relays have failed no proxy is counted for a while: that does not mean "in force
	// everywhere".
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

// An invalid call, and one that gets no answer, ends with 2 and one line.
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
	expect(t, 2, "RESOURCE VERSION expected", "rollout", "wait", "-from", address, "service-a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, "rollout status: "+nobody, "rollout", "status", "-from", nobody, "service-a")
	expect(t, 2, "rollout wait: "+nobody, "rollout", "wait", "-timeout", "300ms", "-from", nobody, "service-a", "1.1")
}
