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

// result is the figures of one run.
type result struct {
	served, notServed int           // requests
	rate              float64       // served requests per second
	p50, p99          time.Duration // latency of served requests
	cpu               time.Duration // processor time of the proxy per request
	maxConns          int64         // peak of the connections open to each backend, summed over backends
	openedConns       int64         // connections opened to all backends
	maxInFlight       int64         // peak of the requests at all backends; 0 means not counted
}

// String returns the figures as one line.
func (r result) String() string {
	return fmt.Sprintf("%7.0f req/s  p50 %7.3f ms  p99 %7.3f ms  cpu %5.1f us/req  "+
		"%4d backend connections at once, %5d opened, %d not served",
		r.rate, milliseconds(r.p50), milliseconds(r.p99), float64(r.cpu.Nanoseconds())/1000,
		r.maxConns, r.openedConns, r.notServed)
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sendLoad sends requests on a number of connections for a duration, one after the other on each
// connection. The starts of a connection's requests are at least an interval apart. 0 means that
// each request starts right after the previous response.
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
			// The offset spreads the clients' requests evenly over the interval.
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
	elapsed := time.Since(start)
	select {
	case err := <-errs:
		return res, err
	default:
	}
	slices.Sort(latencies)
	res.served, res.rate = len(latencies), float64(len(latencies))/elapsed.Seconds()
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
	latencies []time.Duration // latencies of served requests
	notServed int
}

// run sends requests until the client's end, after a delay of an offset.
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
		sentAt := time.Now()
		keepAlive, err := c.send(request.Bytes())
		if err != nil {
			return err
		}
		time.Sleep(time.Until(sentAt.Add(c.interval)))
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

// connect opens a connection in place of the client's previous one.
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

// send sends one request and records its response. keepAlive is whether the connection stays open.
func (c *client) send(request []byte) (keepAlive bool, err error) {
	sentAt := time.Now()
	if _, err := c.conn.Write(request); err != nil {
		return false, err
	}
	status, keepAlive, err := readResponse(c.reader)
	if err != nil {
		return false, err
	}
	if status == http.StatusOK {
		c.latencies = append(c.latencies, time.Since(sentAt))
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
		return 0, false, fmt.Errorf("invalid status line %q: %w", line, err)
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
