package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	nethttp "net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/write"
)

// kept keeps the exchanges of a reading.
type kept struct {
	all    []*http.Exchange
	faults []string
}

func (k *kept) Exchange(e *http.Exchange) { k.all = append(k.all, e) }
func (k *kept) StreamFault(_ *flow.Flow, _ flow.Direction, f http.Fault) {
	k.faults = append(k.faults, string(f.Kind))
}
func (k *kept) SegmentFault(f flow.Fault)                { k.faults = append(k.faults, f.String()) }
func (k *kept) FlowEnded(_ *flow.Flow, _ flow.EndReason) {}

// captured reads conversations as if they had been captured: what the client and the server said, by connection.
func captured(t *testing.T, talks ...[2]string) []*http.Exchange {
	t.Helper()
	var buf bytes.Buffer
	f, err := write.New(&buf, 0, "client")
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 24, 20, 0, 0, 0, time.UTC)
	for i, talk := range talks {
		c := f.Open(0, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", 1000+i)), netip.MustParseAddrPort("10.0.0.2:80"), at)
		at = at.Add(time.Millisecond)
		c.Data(0, []byte(talk[0]), at, "")
		at = at.Add(time.Millisecond)
		c.Data(1, []byte(talk[1]), at, "")
		c.Close(false, 0, at)
	}
	return reread(t, f, &buf)
}

func reread(t *testing.T, f *write.File, buf *bytes.Buffer) []*http.Exchange {
	t.Helper()
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	k := &kept{}
	sum, err := pcap.Read(context.Background(), buf, pcap.Options{}, k)
	if err != nil {
		t.Fatal(err)
	}
	if err := sum.Check(); err != nil || len(k.faults) > 0 {
		t.Fatalf("%v, %q", err, k.faults)
	}
	return k.all
}

func plan(t *testing.T, opts Options, from []*http.Exchange) *Plan {
	t.Helper()
	p, err := New(opts, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range from {
		if err := p.Add(e); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

const (
	get   = "GET /t/1 HTTP/1.1\r\nHost: b\r\nRequest-Id: g1\r\nRequest-Class: tariff\r\nAuthorization: Bearer secret\r\n\r\n"
	keyed = "POST /u HTTP/1.1\r\nHost: b\r\nRequest-Id: u1\r\nRequest-Class: usage\r\nIdempotency-Key: k1\r\nContent-Length: 9\r\n\r\ncard=4111"
	post  = "POST /c HTTP/1.1\r\nHost: b\r\nRequest-Id: c1\r\nRequest-Class: charge\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	ok    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// What must not happen twice is left out, unless it is asked for.
func TestAPlanLeavesOutWhatIsUnsafe(t *testing.T) {
	from := captured(t, [2]string{get + keyed + post, ok + ok + ok})
	p := plan(t, Options{}, from)
	if len(p.Steps) != 3 || p.Steps[0].SkipReason != "" || p.Steps[1].SkipReason != "" || p.Steps[2].SkipReason == "" || p.Steps[2].Head != nil {
		t.Errorf("got %+v", p.Steps)
	}
	p = plan(t, Options{SendNonIdempotent: true}, from)
	if s := p.Steps[2]; s.SkipReason != "" || !strings.Contains(string(s.Head), "Content-Length: 3\r\n") || strings.Contains(string(s.Head), "chunked") {
		t.Errorf("got %+v, %q", s, s.Head)
	}
}

func TestAPlanWordsWhatItSends(t *testing.T) {
	from := captured(t, [2]string{get + keyed + keyed, ok + ok + ok})
	p := plan(t, Options{
		IDField: "Request-Id", NewKeys: true, Set: map[string]string{"Tenant": "acme", "authorization": ""},
		Copy:   map[string]string{"X-Old": "Request-Id"},
		Redact: []Redaction{{Pattern: regexp.MustCompile(`\d{4}`), With: "XX"}, {Field: "X-Old", Pattern: regexp.MustCompile("u"), With: "v"}},
	}, from)
	head := string(p.Steps[1].Head)
	for _, want := range []string{"POST /u HTTP/1.1\r\n", "\r\nTenant: acme\r\n", "\r\nX-Old: v1\r\n", "\r\nContent-Length: 7\r\n", "\r\nRequest-Id: " + p.Steps[1].NewID + "\r\n"} {
		if !strings.Contains(head, want) {
			t.Errorf("%q is not in %q", want, head)
		}
	}
	if p.Steps[1].OldID != "u1" || p.Steps[1].NewID == p.Steps[2].NewID || strings.Contains(head, "k1") || string(p.Steps[1].RedactedBody) != "card=XX" {
		t.Errorf("got %+v", p.Steps[1])
	}
	if a, b := keyOf(p.Steps[1]), keyOf(p.Steps[2]); a == "" || a != b {
		t.Errorf("one key of the capture became %q and %q", a, b)
	}
	if strings.Contains(string(p.Steps[0].Head), "secret") {
		t.Errorf("a field that was taken out goes out: %q", p.Steps[0].Head)
	}
	again := plan(t, Options{IDField: "Request-Id", NewKeys: true}, from)
	if same := plan(t, Options{IDField: "Request-Id", NewKeys: true}, from); !bytes.Equal(again.Steps[1].Head, same.Steps[1].Head) {
		t.Error("one seed gave two plans")
	}
	for _, bad := range []Options{{Speed: 1e-9}, {Set: map[string]string{"Content-Length": "1"}}, {Set: map[string]string{"A": "b\r\nc: d"}}, {Copy: map[string]string{"a b": "c"}}} {
		if _, err := New(bad, 1); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
	small, err := New(Options{MaxRequests: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if first, second := small.Add(from[0]), small.Add(from[1]); first != nil || second == nil {
		t.Errorf("of at most one: %v, %v", first, second)
	}
}

func keyOf(s *Step) string {
	_, rest, _ := strings.Cut(string(s.Head), "Idempotency-Key: ")
	key, _, _ := strings.Cut(rest, "\r\n")
	return key
}

func TestOnlyLoopbackUnlessAllowed(t *testing.T) {
	far := netip.MustParseAddrPort("192.0.2.1:80")
	if CheckAddress(far, nil) == nil || CheckAddress(far, []netip.AddrPort{far}) != nil || CheckAddress(netip.MustParseAddrPort("127.0.0.9:80"), nil) != nil || CheckAddress(netip.MustParseAddrPort("[::1]:80"), nil) != nil {
		t.Error("the wrong addresses are allowed")
	}
}

// server counts what reaches it, by id.
type server struct {
	mu   sync.Mutex
	seen map[string]int
	body map[string]string
}

// counts is how often each request has come.
func (s *server) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.seen)
}

func serve(t *testing.T, h func(s *server, w nethttp.ResponseWriter, r *nethttp.Request)) (*server, netip.AddrPort) {
	t.Helper()
	s := &server{seen: map[string]int{}, body: map[string]string{}}
	web := httptest.NewServer(nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.seen[r.Header.Get("Request-Id")]++
		s.body[r.Header.Get("Request-Id")] = string(body)
		s.mu.Unlock()
		h(s, w, r)
	}))
	t.Cleanup(web.Close)
	return s, netip.MustParseAddrPort(web.Listener.Addr().String())
}

// What a capture holds reaches a server byte for byte, once, and what is written of it reads as the same again.
func TestAReplayAndWhatIsWrittenOfIt(t *testing.T) {
	big := strings.Repeat("0123456789", 9000)
	var talks [][2]string
	for i := range 20 {
		ask := fmt.Sprintf("POST /u HTTP/1.1\r\nHost: b\r\nRequest-Id: a%d\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", i, len(big), big)
		more := fmt.Sprintf("GET /t HTTP/1.1\r\nHost: b\r\nRequest-Id: b%d\r\n\r\n", i)
		talks = append(talks, [2]string{ask + more, ok + "HTTP/1.1 404 N\r\nContent-Length: 1\r\n\r\nx"})
	}
	from := captured(t, talks...)
	for _, pipeline := range []bool{false, true} {
		s, addr := serve(t, func(_ *server, w nethttp.ResponseWriter, r *nethttp.Request) {
			if r.Method == "GET" {
				w.WriteHeader(404)
				_, _ = io.WriteString(w, "y")
				return
			}
			_, _ = io.WriteString(w, "ok")
		})
		var buf bytes.Buffer
		f, err := write.New(&buf, 0, "client")
		if err != nil {
			t.Fatal(err)
		}
		p := plan(t, Options{Speed: -1}, from)
		results := p.Run(context.Background(), Target{Addr: addr, MaxConnections: 4, Pipeline: pipeline, Capture: f})
		if len(results) != 40 {
			t.Fatalf("%d results", len(results))
		}
		for _, r := range results {
			if r.Err != nil || !r.Sent || r.Replayed.StatusCode != r.Step.Captured.StatusCode || r.BodyEqual != (r.Step.Method == "POST") {
				t.Errorf("pipeline %v: %s: %+v, captured %+v, %v", pipeline, r.Step.Target, r.Replayed, r.Step.Captured, r.Err)
			}
		}
		s.mu.Lock()
		for i := range 20 {
			if s.seen[fmt.Sprint("a", i)] != 1 || s.seen[fmt.Sprint("b", i)] != 1 || s.body[fmt.Sprint("a", i)] != big {
				t.Errorf("request %d: seen %d and %d times", i, s.seen[fmt.Sprint("a", i)], s.seen[fmt.Sprint("b", i)])
			}
		}
		s.mu.Unlock()
		again := reread(t, f, &buf)
		if len(again) != 40 {
			t.Fatalf("pipeline %v: what was written holds %d exchanges", pipeline, len(again))
		}
		for _, e := range again {
			if body, err := e.Request.Body.Bytes(); err != nil || e.Request.Method == "POST" && string(body) != big {
				t.Errorf("a body of %d bytes was written, %v", len(body), err)
			}
		}
	}
}

// A connection that breaks after a request was sent takes that request's answer with it, and no second copy goes out;
// what had not been begun goes over a new connection.
func TestABreakIsNeverAnsweredByASecondCopy(t *testing.T) {
	from := captured(t, [2]string{keyed + strings.Replace(keyed, "u1", "u2", 1) + strings.Replace(keyed, "u1", "u3", 1), ok + ok + ok})
	for _, pipeline := range []bool{false, true} {
		s, addr := serve(t, func(_ *server, w nethttp.ResponseWriter, r *nethttp.Request) {
			if r.Header.Get("Request-Id") == "u1" {
				panic(nethttp.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		})
		results := plan(t, Options{Speed: -1}, from).Run(context.Background(), Target{Addr: addr, Pipeline: pipeline})
		if results[0].Err == nil || !results[0].Sent {
			t.Errorf("the request that broke: %+v", results[0])
		}
		for id, n := range s.counts() {
			if n > 1 {
				t.Errorf("%s was sent %d times", id, n)
			}
		}
		if !pipeline && (results[1].Err != nil || results[2].Err != nil) {
			t.Errorf("the others: %v, %v", results[1].Err, results[2].Err)
		}
	}
}

// A replay that is broken off ends, and says of every request what became of it.
func TestAReplayEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan struct{}, 8)
	go func() { // takes connections and never answers
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			go func() {
				b := make([]byte, 1)
				if _, err := c.Read(b); err == nil {
					got <- struct{}{}
				}
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	from := captured(t, [2]string{get + get, ok + ok}, [2]string{get, ok})
	results := plan(t, Options{Speed: -1}, from).Run(ctx, Target{Addr: netip.MustParseAddrPort(l.Addr().String()), MaxConnections: 1})
	for i, r := range results {
		if r.Err == nil {
			t.Errorf("request %d: %+v", i, r)
		}
	}
}
