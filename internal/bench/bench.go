// Package bench measures the sidecar against a peer on the same machine, in the same run: it holds what both need, a
// client and backends that cost little themselves.
package bench

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" +
	"0123456789012345678901234567890123456789012345678901234567890123"

// server answers every request without a body with the same bytes.
type server struct {
	net.Listener
	work               time.Duration // before each answer
	opened, open, most atomic.Int64
	busy, mostBusy     *atomic.Int64 // requests at all servers of a fleet
}

func newServer(work time.Duration, busy, mostBusy *atomic.Int64) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Listener: l, work: work, busy: busy, mostBusy: mostBusy}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.most.Store(max(s.most.Load(), s.open.Add(1)))
			go s.converse(c)
		}
	}()
	return s, nil
}

func (s *server) converse(c net.Conn) {
	defer func() { s.open.Add(-1); c.Close() }()
	r := bufio.NewReader(c)
	for {
		if err := skipHead(r); err != nil {
			return
		}
		if s.work > 0 {
			s.mostBusy.Store(max(s.mostBusy.Load(), s.busy.Add(1)))
			time.Sleep(s.work)
			s.busy.Add(-1)
		}
		if _, err := io.WriteString(c, answer); err != nil {
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
		if len(line) <= 2 {
			return nil
		}
	}
}

// figures are what one run gave.
type figures struct {
	served, other int
	rate          float64 // served a second
	p50, p99      time.Duration
	cpu           time.Duration // of the proxy's process, for each request
	conns         int64         // to backends at once, at most
	opened        int64         // and in all
	busy          int64         // requests at backends at once, at most; 0: not counted
}

func (f figures) String() string {
	return fmt.Sprintf("%7.0f req/s  p50 %7.3f ms  p99 %7.3f ms  cpu %5.1f us/req  %4d backend connections at once, %5d opened, %d not served",
		f.rate, ms(f.p50), ms(f.p99), float64(f.cpu.Nanoseconds())/1000, f.conns, f.opened, f.other)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// play sends requests one after another on each of some connections for a time, at pace (0: as fast as it goes) from
// the begin of one to the begin of the next.
func play(addr string, conns int, long, pace time.Duration) (figures, error) {
	var mu sync.Mutex
	var f figures
	var times []time.Duration
	var all sync.WaitGroup
	errs := make(chan error, conns)
	start := time.Now()
	for i := range conns {
		all.Go(func() {
			mine, other, err := one(addr, i, start.Add(long), pace, pace*time.Duration(i)/time.Duration(conns))
			if err != nil {
				errs <- err
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, mine...)
			f.other += other
		})
	}
	all.Wait()
	took := time.Since(start)
	select {
	case err := <-errs:
		return f, err
	default:
	}
	slices.Sort(times)
	f.served, f.rate = len(times), float64(len(times))/took.Seconds()
	if len(times) > 0 {
		f.p50, f.p99 = times[len(times)/2], times[len(times)*99/100]
	}
	return f, nil
}

// one is one client's connection.
func one(addr string, client int, until time.Time, pace, offset time.Duration) (times []time.Duration, other int, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	defer func() { c.Close() }()
	_ = c.SetDeadline(until.Add(20 * time.Second))
	r := bufio.NewReader(c)
	var out bytes.Buffer
	time.Sleep(offset) // so that the clients are not in step
	for n := 0; time.Now().Before(until); n++ {
		out.Reset()
		fmt.Fprintf(&out, "GET /s/%d HTTP/1.1\r\nHost: bench.example.org\r\nRequest-Id: %d-%d\r\nAccept: */*\r\n\r\n", n, client, n)
		began := time.Now()
		if _, err = c.Write(out.Bytes()); err != nil {
			return nil, 0, err
		}
		status, again, err := readAnswer(r)
		if err != nil {
			return nil, 0, err
		}
		if status == 200 {
			times = append(times, time.Since(began))
		} else {
			other++
		}
		time.Sleep(time.Until(began.Add(pace)))
		if !again { // the proxy has closed
			c.Close()
			if c, err = net.Dial("tcp", addr); err != nil {
				return nil, 0, err
			}
			_ = c.SetDeadline(until.Add(20 * time.Second))
			r.Reset(c)
		}
	}
	return times, other, nil
}

// readAnswer reads an answer with a length.
func readAnswer(r *bufio.Reader) (status int, again bool, err error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return 0, false, err
	}
	if _, err := fmt.Sscanf(string(line), "HTTP/1.1 %d", &status); err != nil {
		return 0, false, fmt.Errorf("%q: %w", line, err)
	}
	length, again := 0, true
	for {
		line, err = r.ReadSlice('\n')
		if err != nil {
			return 0, false, err
		}
		if len(line) <= 2 {
			break
		}
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(": "))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			for _, c := range value {
				length = 10*length + int(c-'0')
			}
		case bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(value, []byte("close")):
			again = false
		}
	}
	_, err = r.Discard(length)
	return status, again, err
}
