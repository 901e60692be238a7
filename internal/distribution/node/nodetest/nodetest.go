// Package nodetest runs sources and relays of distribution on loopback sockets, for the tests of
// other packages, and a [Gate] that injects faults on the way to them.
package nodetest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node"
)

// Hold is how long the reads of relays wait: short, so that a fault shows soon.
const Hold = 500 * time.Millisecond

// maxConns is how many connections a node accepts.
const maxConns = 1_000

// Node is a source or relay on a socket.
type Node struct {
	*node.Node
	Address string
	server  *http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// service is a node.Node or a node.Relay.
type service interface {
	httpapi.Service
	Run(ctx context.Context)
}

// StartSource starts a source that has its writes in memory only. It ends with the test.
func StartSource(tb testing.TB) *Node {
	tb.Helper()
	n := node.New(node.Config{Name: "source", Epoch: 1, Persist: func(*distribution.Update) error { return nil }})
	return start(tb, n, n, "127.0.0.1:0")
}

// StartRelay starts a relay at an address, such as 127.0.0.1:0. It ends with the test.
func StartRelay(tb testing.TB, name, address string, upstream ...string) *Node {
	tb.Helper()
	r := node.NewRelay(node.Config{Name: name}, follow.Config{Relays: upstream, Hold: Hold})
	return start(tb, r, r.Node, address)
}

// start serves a node at an address.
func start(tb testing.TB, s service, n *node.Node, address string) *Node {
	tb.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := &Node{Node: n, Address: listener.Addr().String(), server: httpapi.NewServer(s), cancel: cancel}
	served.running.Go(func() { s.Run(ctx) })
	served.running.Go(func() {
		_ = served.server.Serve(httpapi.Listener(listener, maxConns, new(httpapi.Traffic))) // until Kill
	})
	tb.Cleanup(served.Kill)
	return served
}

// Kill ends a node as a crash does: its connections break. Killing it again has no effect.
func (n *Node) Kill() {
	n.cancel()
	_ = n.server.Close()
	n.Close()
	n.running.Wait()
}

// Write writes changes to a resource at a source, and returns the new version.
func (n *Node) Write(tb testing.TB, resource string, items ...distribution.Item) distribution.Version {
	tb.Helper()
	version, err := n.Put(&distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		tb.Error(err)
	}
	return version
}
