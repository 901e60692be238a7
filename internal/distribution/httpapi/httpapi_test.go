package httpapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/distribution"
)

// scriptedService is a Service with a response and an error that a test sets.
type scriptedService struct {
	response *EncodedResponse
	err      error
}

// Follow implements Service.
func (s *scriptedService) Follow(context.Context, *distribution.FollowRequest) (*EncodedResponse, func(), error) {
	return s.response, func() {}, s.err
}

// Put implements Service.
func (s *scriptedService) Put(*distribution.PutRequest) (distribution.Version, error) {
	return distribution.Version{Epoch: 1, Revision: 2}, s.err
}

// Status implements Service.
func (s *scriptedService) Status(resource string) distribution.ResourceStatus {
	return distribution.ResourceStatus{Resource: resource}
}

// Resource implements Service.
func (s *scriptedService) Resource(string) *distribution.Update { return nil }

// Disconnected implements Service.
func (s *scriptedService) Disconnected() bool { return s.err != nil }

// Stats implements Service.
func (s *scriptedService) Stats() distribution.Stats { return distribution.Stats{Name: "relay"} }

// start serves a service until the test ends, and returns the address and the traffic of its
// listener.
func start(t *testing.T, service Service, maxConns int) (string, *Traffic) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	traffic := new(Traffic)
	server := NewServer(service)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(Listener(l, maxConns, traffic))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return l.Addr().String(), traffic
}

// heartbeat returns a read without changed positions.
func heartbeat() *distribution.FollowRequest {
	return &distribution.FollowRequest{
		Follower: "proxy-of-usual-length-12345",
		Kind:     distribution.KindProxy,
		Session:  "0123456789ab1f",
		HoldMs:   4_000,
	}
}

// The client returns the typed errors of the service, and reports readiness by the status.
func TestErrorMapping(t *testing.T) {
	service := &scriptedService{}
	address, _ := start(t, service, 10)
	c := NewClient(nil)
	defer c.Close()
	ctx := context.Background()

	service.err = distribution.ErrUnknownSession
	if _, err := c.Follow(ctx, address, heartbeat()); !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("Follow: got error %v, want ErrUnknownSession", err)
	}
	service.err = &OverloadedError{RetryAfter: 7 * time.Second, Reason: "full"}
	var overloaded *OverloadedError
	_, err := c.Follow(ctx, address, heartbeat())
	if !errors.As(err, &overloaded) || overloaded.RetryAfter != 7*time.Second {
		t.Errorf("Follow: got error %v, want an OverloadedError with Retry-After 7s", err)
	}
	sent := &distribution.ConflictError{Resource: "r", Found: distribution.Version{Epoch: 1, Revision: 2}}
	service.err = sent
	var conflict *distribution.ConflictError
	_, err = c.Put(ctx, address, &distribution.PutRequest{Resource: "r"})
	if !errors.As(err, &conflict) || *conflict != *sent {
		t.Errorf("Put: got error %v, want the conflict %v", err, sent)
	}
	if _, err := c.Resource(ctx, address, "r"); err == nil || !strings.Contains(err.Error(), "no such resource") {
		t.Errorf("Resource: got error %v, want no such resource", err)
	}
	if s, err := c.Stats(ctx, address); err != nil || s.Name != "relay" {
		t.Errorf("Stats: got %+v, %v", s, err)
	}
	if err := c.Healthy(ctx, address); err != nil {
		t.Error(err)
	}
	if err := c.Ready(ctx, address); !errors.As(err, &overloaded) {
		t.Errorf("Ready of a disconnected service: got error %v, want an OverloadedError", err)
	}
	service.err = nil
	if err := c.Ready(ctx, address); err != nil {
		t.Errorf("Ready of a connected service: %v", err)
	}
}

// Encoded updates are sent unchanged, and a heartbeat and its response are small.
func TestFollowResponse(t *testing.T) {
	update := []byte(`{"resource":"r","version":"1.2","items":[{"key":"a","value":"<&>"}]}`)
	service := &scriptedService{response: &EncodedResponse{
		Session:      "s1",
		SourceAge:    3 * time.Second,
		Disconnected: true,
		Updates:      [][]byte{update, update},
	}}
	address, traffic := start(t, service, 10)
	c := NewClient(nil)
	defer c.Close()
	r, err := c.Follow(context.Background(), address, heartbeat())
	if err != nil {
		t.Fatal(err)
	}
	if r.Session != "s1" || r.SourceAgeMs != 3_000 || !r.Disconnected {
		t.Errorf("got %+v", r)
	}
	if len(r.Updates) != 2 || string(r.Updates[1].Items[0].Value) != `"<&>"` {
		t.Errorf("got updates %+v", r.Updates)
	}
	service.response = &EncodedResponse{Session: "s1"}
	inBefore, outBefore := traffic.In.Load(), traffic.Out.Load()
	r, err = c.Follow(context.Background(), address, heartbeat())
	if err != nil || len(r.Updates) > 0 {
		t.Errorf("heartbeat: got %+v, %v; want no updates", r, err)
	}
	const limit = 4 * 150 // one read every 4 s, at 150 bytes per second
	in, out := traffic.In.Load()-inBefore, traffic.Out.Load()-outBefore
	if in > limit || out > limit {
		t.Errorf("got a heartbeat of %d bytes and a response of %d, want at most %d", in, out, limit)
	}
}

// The client limits the size of responses and validates them.
func TestInvalidResponses(t *testing.T) {
	for want, body := range map[string]string{
		"unexpected end of JSON":                      `{"session":`,
		"session: 0 bytes found":                      `{}`,
		"updates[0]: resource: name of 0":             `{"session":"s","updates":[{}]}`,
		"epoch.revision":                              `{"session":"s","updates":[{"resource":"r","version":"x"}]}`,
		"status 500: broken":                          "",
		"response body exceeds the limit of 10 bytes": strings.Repeat(" ", 100),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if body == "" {
				http.Error(w, "broken", http.StatusInternalServerError)
			}
			_, _ = io.WriteString(w, body)
		}))
		address := strings.TrimPrefix(server.URL, "http://")
		c := NewClient(nil)
		_, err := c.Follow(context.Background(), address, heartbeat())
		if strings.Contains(want, "10 bytes") {
			err = c.call(context.Background(), http.MethodGet, address, PathStats, nil, new(distribution.Stats), 10)
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %q", err, want)
		}
		c.Close()
		server.Close()
	}
}

// An invalid request is answered with status 400 and a body of one line.
func TestInvalidRequests(t *testing.T) {
	address, _ := start(t, &scriptedService{}, 2)
	for _, body := range []string{
		"{",
		`{"follower":"p"}`,
		`{"follower":"p","kind":"proxy","hold_ms":99999999}`,
		fmt.Sprintf(`{"x":"%s"`, strings.Repeat("x", 10_000)),
	} {
		resp, err := http.Post("http://"+address+PathFollow, "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusBadRequest || strings.Count(string(text), "\n") != 1 {
			t.Errorf("%.50s: got status %d with body %q, want status 400 with one line", body, resp.StatusCode, text)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// Connections beyond the limit are closed.
func TestConnectionsAreBounded(t *testing.T) {
	address, _ := start(t, &scriptedService{}, 2)
	var conns []net.Conn
	closed := 0
	for range 4 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		// On a closed connection the write or the read fails.
		_, _ = io.WriteString(conn, "GET "+PathHealth+" HTTP/1.1\r\nHost: a\r\n\r\n")
		if n, _ := conn.Read(make([]byte, 1)); n == 0 {
			closed++
		}
	}
	if closed < 2 {
		t.Errorf("got %d of 4 connections closed, want at least 2", closed)
	}
}

// A Retry-After beyond maxRetryAfter is ignored.
func FuzzRetryAfter(f *testing.F) {
	f.Add("5")
	f.Fuzz(func(t *testing.T, text string) {
		if d := parseRetryAfter(text); d < 0 || d > maxRetryAfter {
			t.Errorf("%q: got %v, want 0 to %v", text, d, maxRetryAfter)
		}
	})
}
