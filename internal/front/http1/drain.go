package http1

import "time"

const (
	noNewConnsAfter   = 200 * time.Millisecond // until this time after SIGTERM, new connections surely arrive
	acceptWindow      = 550 * time.Millisecond // until this time after SIGTERM, new connections may arrive
	drainPollInterval = 20 * time.Millisecond
)

// Drain ends the service after SIGTERM.
//
// Until closeIdleAt, clients are served as usual and keep their connections. New connections soon
// stop arriving, but a client uses its existing connections as long as they stay open. Drain does
// not know whether a client has connections to other replicas: other replicas may restart shortly
// after one another, and this one may be the last for seconds. An early end would not make the
// successor start sooner, unless the supervisor starts the successor only after this process has
// ended. In that case, the successor starts seconds later than it could. Serving until closeIdleAt
// also covers other replicas that have crashed and a load balancer that is slow to add a new
// replica.
//
// From closeIdleAt, connections are closed as they become idle, until none is left or cutoff has
// passed. Admitted requests have their answers by cutoff, but the responses may still have to be
// written. Drain waits for that until end. Before end, it closes no connection on which a response
// is being written.
func (f *Front) Drain(closeIdleAt, cutoff, end time.Time) {
	f.serveUntil(closeIdleAt)
	f.closing.Store(true)
	// The listener stays open to the end. Closing it resets the connections that the kernel has
	// accepted and this process has not, together with the requests on them.
	for accepting := true; ; accepting = f.conns.acceptPending() {
		for f.conns.closeIdle(acceptWindow) > 0 && time.Now().Before(cutoff) {
			time.Sleep(drainPollInterval)
		}
		for f.conns.closeIdleOrPartial() > 0 && time.Now().Before(end) { // a request that has arrived is answered
			time.Sleep(drainPollInterval)
		}
		if !accepting || !time.Now().Before(end) {
			break
		}
	}
	f.conns.close()
}

// serveUntil fails health checks and serves until new connections no longer arrive, and then until
// closeIdleAt or until no connection is left.
func (f *Front) serveUntil(closeIdleAt time.Time) {
	began := time.Now()
	f.draining.Store(true)
	for elapsed := time.Duration(0); elapsed < acceptWindow ||
		time.Now().Before(closeIdleAt) && f.conns.count() > 0; elapsed = time.Since(began) {
		f.noNewConns.Store(elapsed >= noNewConnsAfter)
		time.Sleep(drainPollInterval)
	}
}
