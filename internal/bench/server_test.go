package bench

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const response = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" +
	"0123456789012345678901234567890123456789012345678901234567890123"

// load counts the requests that all servers of a run are working on.
type load struct{ inFlight, maxInFlight atomic.Int64 }

// server answers every request without a body with the same bytes.
type server struct {
	net.Listener
	work                  time.Duration // before each response; its requests count in load
	load                  *load
	opened, open, maxOpen atomic.Int64 // connections
}

// newServer starts a server. Close ends its listener.
func newServer(work time.Duration, l *load) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Listener: listener, work: work, load: l}
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

// serveConn answers the requests of a connection until its peer closes it.
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
		if s.work > 0 {
			s.load.maxInFlight.Store(max(s.load.maxInFlight.Load(), s.load.inFlight.Add(1)))
			time.Sleep(s.work)
			s.load.inFlight.Add(-1)
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// skipHead reads up to an empty line.
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
