package bench

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const cannedResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" +
	"0123456789012345678901234567890123456789012345678901234567890123"

// inFlightCounter counts the requests in flight at all servers of a run, and their peak.
type inFlightCounter struct{ current, peak atomic.Int64 }

// server responds to every request with the same bytes. Requests must not have a body.
type server struct {
	net.Listener
	serviceTime           time.Duration    // wait before each response
	inFlight              *inFlightCounter // counts requests if serviceTime is not 0
	opened, open, maxOpen atomic.Int64     // connections
}

// newServer starts a server. Close closes its listener.
func newServer(work time.Duration, l *inFlightCounter) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Listener: listener, serviceTime: work, inFlight: l}
	go s.serve()
	return s, nil
}

// serve accepts connections until the listener is closed.
func (s *server) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.opened.Add(1)
		s.maxOpen.Store(max(s.maxOpen.Load(), s.open.Add(1)))
		go s.serveConn(c)
	}
}

// serveConn handles the requests of a connection until the peer closes it.
func (s *server) serveConn(c net.Conn) {
	defer func() {
		s.open.Add(-1)
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		if err := skipHead(r); err != nil {
			return
		}
		if s.serviceTime > 0 {
			s.inFlight.peak.Store(max(s.inFlight.peak.Load(), s.inFlight.current.Add(1)))
			time.Sleep(s.serviceTime)
			s.inFlight.current.Add(-1)
		}
		if _, err := io.WriteString(c, cannedResponse); err != nil {
			return
		}
	}
}

// skipHead reads the head of a request, up to and including the empty line.
func skipHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}
