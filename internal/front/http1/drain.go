package http1

import "time"

const (
	noNewAfter    = 200 * time.Millisecond // new connections surely come for this long after SIGTERM
	acceptWindow  = 550 * time.Millisecond // and may still come for this long
	drainInterval = 20 * time.Millisecond
)

// Drain ends the service after SIGTERM.
//
// Until lastCall clients are served as ever and keep their connections: new ones stop coming soon,
// but a client uses those that it has while they stay open. What else it has is not known here:
// other proxies may restart close behind each other, and for seconds this one may be the last,
// while the successor comes no sooner for an early end. Then connections are closed as they fall
// idle, until none is left or cutoff has come. What has been admitted has its answer by then, but
// for the time that it takes to write it; Drain waits for that until end, and closes nothing under
// a response before.
//
// This also covers other proxies that have crashed and a load balancer that is slow to take a new
// one in. It hurts where a supervisor starts the successor only when this process has ended: that
// is then seconds later.
func (f *Front) Drain(lastCall, cutoff, end time.Time) {
	f.serveUntil(lastCall)
	f.closing.Store(true)
	// The listener stays to the last: closing it resets the connections that the kernel has
	// accepted and this process has not, with the requests on them.
	for accepting := true; ; accepting = f.conns.acceptPending() {
		for f.conns.closeIdle(acceptWindow) > 0 && time.Now().Before(cutoff) {
			time.Sleep(drainInterval)
		}
		for f.conns.closeQuiet() > 0 && time.Now().Before(end) { // a request that has come is answered
			time.Sleep(drainInterval)
		}
		if !accepting || !time.Now().Before(end) {
			break
		}
	}
	_ = f.server.Close() // not Shutdown, which drops a request that has just been read
}

// serveUntil fails health checks and serves until new connections no longer come, and then until
// lastCall or until no connection is left.
func (f *Front) serveUntil(lastCall time.Time) {
	began := time.Now()
	f.draining.Store(true)
	for elapsed := time.Duration(0); elapsed < acceptWindow ||
		time.Now().Before(lastCall) && f.conns.count() > 0; elapsed = time.Since(began) {
		f.noNew.Store(elapsed >= noNewAfter)
		time.Sleep(drainInterval)
	}
}
