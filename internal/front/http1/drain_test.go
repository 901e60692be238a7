package http1

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"
)

// stallingListener is the listener of a process that is too busy to accept.
type stallingListener struct {
	*net.TCPListener
	stall   chan struct{} // closed when the process is no longer busy
	stalled chan struct{} // receives a value for each Accept call
}

// Accept implements net.Listener. It waits for the end of the stall.
func (l *stallingListener) Accept() (net.Conn, error) {
	l.stalled <- struct{}{}
	<-l.stall
	return l.TCPListener.Accept()
}

// startDrain drains a front in the background. The channel is closed at the end of the drain.
func startDrain(f *Front, closeIdleAt, cutoff, end time.Time) <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.Drain(closeIdleAt, cutoff, end)
	}()
	return drained
}

// A connection that the kernel has accepted, and that a busy process has not, is served even at the
// end of the drain.
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
		t.Error("the response does not close the connection")
	}
	receive(t, "end of the drain", drained)
}

// At the end of the drain, a request may have been read that has not been opened yet. The drain waits
// for it and does not close its connection.
func TestDrainWaitsForRequestThatHasBeenRead(t *testing.T) {
	l := listen(t)
	f := New(Config{
		Listener: l, Quota: unlimitedQuota{}, Memory: ampleMemory(), Log: slog.New(slog.DiscardHandler),
	})
	peer, _ := dial(t, l)
	c, err := f.conns.accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, c)
	send(t, peer, getRequest("1"))
	if err := c.awaitBytes(); c.receivedBytes() != len(getRequest("1")) || err != nil {
		t.Fatal(c.receivedBytes(), err)
	}
	acceptEnded := make(chan error, 1)
	go func() {
		_, err := f.conns.accept()
		acceptEnded <- err
	}()
	now := time.Now()
	drained := startDrain(f, now, now, now.Add(waitLimit))
	step := time.NewTimer(acceptWindow + pendingTimeout)
	defer step.Stop()
	select {
	case <-step.C:
	case <-drained:
		t.Fatal("drain ended before a request that had been read was answered")
	}
	f.conns.requestStarted(c)
	f.conns.removeAndClose(c)
	receive(t, "end of the drain", drained)
	if err := receive(t, "end of accept", acceptEnded); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: got %v, want %v", err, net.ErrClosed)
	}
}

// A response that is being written at the cutoff is completed, because there is time until SIGKILL.
func TestDrainWaitsForResponseWriteAtCutoff(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	now := time.Now()
	cutoff := now.Add(acceptWindow)
	drained := startDrain(f, now, cutoff, now.Add(waitLimit))
	past := time.NewTimer(time.Until(cutoff) + 5*drainPollInterval)
	defer past.Stop()
	select {
	case <-past.C:
	case <-drained:
		t.Fatal("drain ended while a request was open")
	}
	close(pool.gate)
	readResponse(t, r, "1")
	receive(t, "end of the drain", drained)
}
