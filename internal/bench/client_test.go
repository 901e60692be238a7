package bench

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// result is what one run measured.
type result struct {
	served, notServed int
	rate              float64 // served a second
	p50, p99          time.Duration
	cpu               time.Duration // of the proxy's process, for each request
	maxConns          int64         // to backends at once
	openedConns       int64         // and in all
	maxInFlight       int64         // requests at backends at once; 0: not counted
}

// String returns the figures on one line.
func (r result) String() string {
	return fmt.Sprintf("%7.0f req/s  p50 %7.3f ms  p99 %7.3f ms  cpu %5.1f us/req  "+
		"%4d backend connections at once, %5d opened, %d not served",
		r.rate, milliseconds(r.p50), milliseconds(r.p99), float64(r.cpu.Nanoseconds())/1000,
		r.maxConns, r.openedConns, r.notServed)
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sendLoad sends requests one after another on each of some connections for a duration. A request
// begins an interval after the one before it at the earliest; 0: at once.
func sendLoad(addr string, conns int, duration, interval time.Duration) (result, error) {
	var mu sync.Mutex
	var res result
	var latencies []time.Duration
	var clients sync.WaitGroup
	errs := make(chan error, conns)
	start := time.Now()
	for i := range conns {
		clients.Go(func() {
			c := client{number: i, addr: addr, end: start.Add(duration), interval: interval}
			// The offset keeps the clients out of step.
			if err := c.run(interval * time.Duration(i) / time.Duration(conns)); err != nil {
				errs <- err
				return
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, c.latencies...)
			res.notServed += c.notServed
		})
	}
	clients.Wait()
	took := time.Since(start)
	select {
	case err := <-errs:
		return res, err
	default:
	}
	slices.Sort(latencies)
	res.served, res.rate = len(latencies), float64(len(latencies))/took.Seconds()
	if len(latencies) > 0 {
		res.p50, res.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	return res, nil
}

// client sends requests on one connection at a time.
type client struct {
	number   int
	addr     string
	end      time.Time
	interval time.Duration

	conn      net.Conn
	reader    *bufio.Reader
	latencies []time.Duration // of the requests that were served
	notServed int
}

// run sends requests from an offset on until the client's end.
func (c *client) run(offset time.Duration) error {
	if err := c.connect(); err != nil {
		return err
	}
	defer func() { _ = c.conn.Close() }()
	time.Sleep(offset)
	var request bytes.Buffer
	for n := 0; time.Now().Before(c.end); n++ {
		request.Reset()
		fmt.Fprintf(&request,
			"GET /s/%d HTTP/1.1\r\nHost: bench.example.org\r\nRequest-Id: %d-%d\r\nAccept: */*\r\n\r\n",
			n, c.number, n)
		began := time.Now()
		keepAlive, err := c.send(request.Bytes())
		if err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(c.interval)))
		if keepAlive {
			continue
		}
		_ = c.conn.Close() // the proxy has closed it
		if err := c.connect(); err != nil {
			return err
		}
	}
	return nil
}

// connect opens the client's connection.
func (c *client) connect() error {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	c.conn = conn
	if c.reader == nil {
		c.reader = bufio.NewReader(conn)
	} else {
		c.reader.Reset(conn)
	}
	return conn.SetDeadline(c.end.Add(20 * time.Second))
}

// send sends one request and counts its response; keepAlive reports whether the connection stays
// open.
func (c *client) send(request []byte) (keepAlive bool, err error) {
	began := time.Now()
	if _, err := c.conn.Write(request); err != nil {
		return false, err
	}
	status, keepAlive, err := readResponse(c.reader)
	if err != nil {
		return false, err
	}
	if status == http.StatusOK {
		c.latencies = append(c.latencies, time.Since(began))
	} else {
		c.notServed++
	}
	return keepAlive, nil
}

// readResponse reads a response with a Content-Length.
func readResponse(r *bufio.Reader) (status int, keepAlive bool, err error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return 0, false, err
	}
	if _, err := fmt.Sscanf(string(line), "HTTP/1.1 %d", &status); err != nil {
		return 0, false, fmt.Errorf("%q: %w", line, err)
	}
	length := 0
	keepAlive = true
	for {
		line, err = r.ReadSlice('\n')
		if err != nil {
			return 0, false, err
		}
		if len(line) <= len("\r\n") {
			break
		}
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(": "))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			for _, digit := range value {
				length = 10*length + int(digit-'0')
			}
		case bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(value, []byte("close")):
			keepAlive = false
		}
	}
	_, err = r.Discard(length)
	return status, keepAlive, err
}
