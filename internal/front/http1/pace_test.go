package http1

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Responses to invalid requests are delayed only if there are more than the rate, and no longer than
// the limit.
func TestRejectionsArePaced(t *testing.T) {
	pacer, now := newRejectionPacer(1), time.Unix(1, 0)
	for i := range rejectionBurst + 1 {
		if wait := pacer.delay(now); wait != 0 {
			t.Fatalf("response %d of a burst: delayed by %v, want 0", i, wait)
		}
	}
	interval := time.Second / rejectionsPerSecond
	for i := 1; i <= 3; i++ {
		if wait := pacer.delay(now); wait != time.Duration(i)*interval {
			t.Errorf("response %d after a burst: delayed by %v, want %v", i, wait, time.Duration(i)*interval)
		}
	}
	for range 10 * rejectionsPerSecond {
		if wait := pacer.delay(now); wait > maxRejectionDelay {
			t.Fatalf("delayed by %v, want at most %v", wait, maxRejectionDelay)
		}
	}
	if wait := pacer.delay(now.Add(2 * maxRejectionDelay)); wait != 0 {
		t.Errorf("after a quiet time: delayed by %v, want 0", wait)
	}
}

// Connections are accepted at once up to a batch in each interval.
func TestAcceptsArePaced(t *testing.T) {
	pacer, now := acceptPacer{batch: 3}, time.Unix(1, 0)
	for i, want := range []time.Duration{0, 0, acceptInterval} {
		if wait := pacer.delay(now); wait != want {
			t.Errorf("connection %d: delayed by %v, want %v", i, wait, want)
		}
	}
	for i := range 10 {
		now = now.Add(acceptInterval)
		if wait := pacer.delay(now); wait != 0 {
			t.Errorf("connection %d in an interval of its own: delayed by %v, want 0", i, wait)
		}
	}
}

// countedQuota is a DescriptorQuota with a limit.
type countedQuota struct{ left atomic.Int64 }

// Acquire implements DescriptorQuota.
func (q *countedQuota) Acquire() bool {
	if q.left.Add(-1) >= 0 {
		return true
	}
	q.left.Add(1)
	return false
}

// Release implements DescriptorQuota.
func (q *countedQuota) Release() { q.left.Add(1) }

// Clients that send invalid requests as fast as they are rejected wait for their responses, and give
// way to new connections: valid requests are served meanwhile (review case 9).
func TestPacedRejectionsGiveWay(t *testing.T) {
	const conns = 5
	pool, l := newGatedPool(), listen(t)
	close(pool.gate)
	cfg, quota := testConfig(l, pool), &countedQuota{}
	quota.left.Store(conns)
	cfg.Quota = quota
	f := New(cfg)
	f.rejections.interval, f.rejections.burst = time.Hour, 0
	f.rejections.next = time.Now().Add(time.Hour) // no response is due
	f.rejections.maxDelay = time.Hour
	run(t, f)
	var invalid [conns]io.Reader
	for i := range conns {
		conn, r := dial(t, l)
		invalid[i] = r
		id := fmt.Sprint(i)
		send(t, conn, getRequest(id)) // the response to a first request is due earlier
		readResponse(t, r, id)
		send(t, conn, getRequest(invalidPath))
		waitUntil(t, func() bool { return f.Stats().Rejected == i+1 })
	}
	conn, r := dial(t, l)
	send(t, conn, getRequest("valid"))
	if resp := readResponse(t, r, "valid"); resp.StatusCode != http.StatusOK {
		t.Errorf("got %s, want 200", resp.Status)
	}
	if n, _ := invalid[0].Read(make([]byte, 1)); n > 0 {
		t.Error("the oldest rejected connection got a response, want a close")
	}
	if rejected := f.Stats().Rejected; rejected != conns-1 {
		t.Errorf("rejected connections: got %d, want %d", rejected, conns-1)
	}
}

// The response to the first request of a connection is not delayed beyond the time that a client has
// from connecting.
func TestRejectionOfFirstRequestIsInTime(t *testing.T) {
	_, c, _ := acceptConn(t)
	f := New(testConfig(listen(t), newGatedPool()))
	f.rejections.next = time.Now().Add(time.Hour)
	f.rejections.maxDelay = time.Hour
	if delay := f.rejectionDelay(c); delay > firstRequestTimeout {
		t.Errorf("delayed by %v, want at most %v", delay, firstRequestTimeout)
	}
	c.acceptedAt = time.Now().Add(-firstRequestTimeout)
	if delay := f.rejectionDelay(c); delay > 0 {
		t.Errorf("delayed by %v though the time is over", delay)
	}
}
