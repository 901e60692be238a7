package start_test

import (
	"testing"
	"time"

	"fernlanding/internal/start"
)

// allowed returns the number of concurrent dials that a limiter allows.
func allowed(d *start.DialLimiter, now time.Time) int {
	for n := range 1000 {
		if ok, _ := d.Allow(now); !ok {
			return n
		}
	}
	return 1000
}

// The limit of concurrent dials grows with each established connection. A failure resets the limit
// and starts a delay that doubles with each further failure.
func TestDialLimiter(t *testing.T) {
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	var d start.DialLimiter
	if n := allowed(&d, at(0)); n != 2 {
		t.Fatalf("%d concurrent dials to an unknown backend", n)
	}
	d.Done(at(1), false, false) // the request ended, which gives no information about the backend
	if n := allowed(&d, at(1)); n != 1 || d.Established() {
		t.Errorf("%d more dials after one was canceled", n)
	}
	d.Done(at(2), true, false)
	d.Done(at(2), true, false)
	if n := allowed(&d, at(2)); n != 8 {
		t.Errorf("%d concurrent dials after two connections were established", n)
	}
	for range 8 {
		d.Done(at(3), true, false)
	}
	if n := allowed(&d, at(3)); n != 16 || !d.Established() {
		t.Errorf("%d concurrent dials to an established backend", n)
	}
	for range 16 {
		d.Done(at(4), true, false)
	}
	delays := []time.Duration{}
	for now := 10; len(delays) < 8; {
		if ok, wait := d.Allow(at(now)); !ok {
			t.Fatalf("no dial allowed at %d ms, wait %v", now, wait)
		}
		d.Done(at(now), false, true)
		ok, wait := d.Allow(at(now))
		if ok || wait <= 0 {
			t.Fatalf("no delay after a failed dial")
		}
		delays = append(delays, wait)
		now += int(wait / time.Millisecond)
	}
	if delays[0] != 50*time.Millisecond || delays[1] != 100*time.Millisecond || delays[7] != 2*time.Second {
		t.Errorf("delays are %v", delays)
	}
	d.Reset()
	if n := allowed(&d, at(10)); n != 2 {
		t.Errorf("%d concurrent dials to a backend that has restarted", n)
	}
}
