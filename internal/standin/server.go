package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"fernlanding/internal/membership"
)

// served is an HTTP server on a loopback socket.
type served struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{} // closed when it ends
	over     sync.WaitGroup
}

func (s *served) serve(h http.Handler) (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.done = make(chan struct{})
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.over.Go(func() { _ = s.server.Serve(s.listener) })
	return nil
}

// Addr is where it listens.
func (s *served) Addr() string { return s.listener.Addr().String() }

// Close ends it and all that it is asked.
func (s *served) Close() {
	close(s.done)
	_ = s.server.Close()
	s.over.Wait()
}

// Members are backends as a registry lists them.
func Members(all []membership.Endpoint) (out []Member) {
	for _, e := range all {
		status := "SERVING"
		if e.Status == membership.Draining {
			status = "DRAINING"
		}
		out = append(out, Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Cell, Weight: e.Weight, SinceMs: e.SinceMs, Status: status})
	}
	return out
}
