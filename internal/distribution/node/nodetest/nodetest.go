// Package nodetest runs sources and relays of package distribution on loopback sockets for tests of
// other packages. Its [FaultProxy] injects faults into the connections to them.
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

// Hold is the hold of the reads of relays. It is short so that faults are detected soon.
const Hold = 500 * time.Millisecond

// maxConns is the maximum number of open connections of a node.
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

// StartSource starts a source that keeps its writes in memory only. The source ends with the test.
func StartSource(tb testing.TB) *Node {
	tb.Helper()
	n := node.New(node.Config{Name: "source", Epoch: 1, Persist: func(*distribution.Update) error { return nil }})
	return start(tb, n, n, "127.0.0.1:0")
}

// StartRelay starts a relay at an address such as 127.0.0.1:0. The relay ends with the test.
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
		_ = served.server.Serve(httpapi.Listener(listener, maxConns, new(httpapi.Traffic))) // returns after Kill
	})
	tb.Cleanup(served.Kill)
	return served
}

// Kill ends a node in the way of a crash: its connections are closed. Further calls have no effect.
func (n *Node) Kill() {
	n.cancel()
	_ = n.server.Close()
	n.Close()
	n.running.Wait()
}

// Write writes changes to a resource at a source and returns the new version of the resource.
func (n *Node) Write(tb testing.TB, resource string, items ...distribution.Item) distribution.Version {
	tb.Helper()
	version, err := n.Put(&distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		tb.Error(err)
	}
	return version
}
