package http1

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// stallingListener is a listener whose process is too busy to accept.
type stallingListener struct {
	*net.TCPListener
	stall   chan struct{} // closed: the process is no longer busy
	stalled chan struct{} // one for each Accept that has begun
}

// Accept implements net.Listener: it waits for the end of the stall.
func (l *stallingListener) Accept() (net.Conn, error) {
	l.stalled <- struct{}{}
	<-l.stall
	return l.TCPListener.Accept()
}

// startDrain drains a front in the background; the channel is closed at the end.
func startDrain(f *Front, lastCall, cutoff, end time.Time) <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.Drain(lastCall, cutoff, end)
	}()
	return drained
}

// A connection that the kernel has accepted and a busy process has not is served, also at the end
// of the drain.
func TestDrainServesConnectionsInKernelQueue(t *testing.T) {
	pool := newGatedPool()
	close(pool.gate)
	l := &stallingListener{TCPListener: listen(t), stall: make(chan struct{}), stalled: make(chan struct{}, 100)}
	f := serve(t, l, pool)
	receive(t, "stall", l.stalled)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	now := time.Now()
	drained := startDrain(f, now, now.Add(waitLimit), now.Add(waitLimit))
	waitUntil(t, func() bool { return f.Stats().Closing })
	close(l.stall)
	if resp := readResponse(t, r, "1"); !resp.Close {
		t.Error("its response is not its last")
	}
	receive(t, "end of the drain", drained)
}

// A request that has been read at the end of the drain, and that net/http has not reported yet, is
// waited for: the end closes nothing under it.
func TestDrainWaitsForRequestThatHasBeenRead(t *testing.T) {
	l := listen(t)
	f := New(Config{Listener: l, Quota: unlimitedQuota{}, Log: slog.New(slog.DiscardHandler)})
	peer, _ := dial(t, l)
	netConn, err := f.conns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, netConn)
	send(t, peer, getRequest("1"))
	if n, err := netConn.Read(make([]byte, 4096)); n != len(getRequest("1")) || err != nil {
		t.Fatal(n, err)
	}
	acceptEnded := make(chan error, 1)
	go func() {
		_, err := f.conns.Accept()
		acceptEnded <- err
	}()
	now := time.Now()
	drained := startDrain(f, now, now, now.Add(waitLimit))
	step := time.NewTimer(acceptWindow + pendingTimeout)
	defer step.Stop()
	select {
	case <-step.C:
	case <-drained:
		t.Fatal("the drain ended under a request that had been read")
	}
	f.conns.onStateChange(netConn, http.StateActive)
	f.conns.onStateChange(netConn, http.StateClosed)
	receive(t, "end of the drain", drained)
	if err := receive(t, "end of Accept", acceptEnded); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept: %v", err)
	}
}

// A response that is being written at the cutoff is not cut off: there is time until SIGKILL.
func TestDrainLetsResponseAtCutoffBeWritten(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	now := time.Now()
	cutoff := now.Add(acceptWindow)
	drained := startDrain(f, now, cutoff, now.Add(waitLimit))
	past := time.NewTimer(time.Until(cutoff) + 5*drainInterval)
	defer past.Stop()
	select {
	case <-past.C:
	case <-drained:
		t.Fatal("the drain ended under an open request")
	}
	close(pool.gate)
	readResponse(t, r, "1")
	receive(t, "end of the drain", drained)
}
