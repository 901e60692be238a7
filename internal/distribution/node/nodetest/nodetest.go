// Package nodetest runs sources and relays of distribution on loopback sockets, for the tests of other packages.
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

// Hold is how long the reads of relays wait: short, so that what is broken shows soon.
const Hold = 500 * time.Millisecond

// maxConns is how many connections a node takes.
const maxConns = 1_000

// Node is a source or relay on a socket.
type Node struct {
	*node.Node
	Address string
	server  *http.Server
	cancel  context.CancelFunc
	parts   sync.WaitGroup
}

// service is what answers at a socket, and works beside.
type service interface {
	httpapi.Service
	Run(ctx context.Context)
}

// Source starts a source that keeps its writes in memory, until the test ends.
func Source(t testing.TB) *Node {
	t.Helper()
	n := node.New(node.Config{Name: "source", Epoch: 1, Persist: func(*distribution.Update) error { return nil }})
	return start(t, n, n, "127.0.0.1:0")
}

// Relay starts a relay at an address, such as 127.0.0.1:0, until the test ends.
func Relay(t testing.TB, name, address string, upstream ...string) *Node {
	t.Helper()
	r := node.NewRelay(node.Config{Name: name}, follow.Config{Relays: upstream, Hold: Hold})
	return start(t, r, r.Node, address)
}

func start(t testing.TB, s service, n *node.Node, address string) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	out := &Node{Node: n, Address: listener.Addr().String(), server: httpapi.NewServer(s), cancel: cancel}
	out.parts.Go(func() { s.Run(ctx) })
	out.parts.Go(func() { _ = out.server.Serve(httpapi.Listener(listener, maxConns, new(httpapi.Traffic))) })
	t.Cleanup(out.Kill)
	return out
}

// Kill ends a node as a crash would: its connections break.
func (n *Node) Kill() {
	n.cancel()
	_ = n.server.Close()
	n.Close()
	n.parts.Wait()
}

// Write writes items to a resource at a source.
func (n *Node) Write(t testing.TB, resource string, items ...distribution.Item) distribution.Version {
	t.Helper()
	version, err := n.Put(&distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		t.Error(err)
	}
	return version
}
