package http

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/flow"
)

// heard is a Sink that writes down what it is told.
type heard struct {
	lines []string
}

func (h *heard) note(format string, a ...any)          { h.lines = append(h.lines, fmt.Sprintf(format, a...)) }
func (h *heard) Segments(f flow.Fault)                 { h.note("%s", f.Kind) }
func (h *heard) Done(_ *flow.Flow, why flow.EndReason) { h.note("done %s", why) }
func (h *heard) Stream(_ *flow.Flow, d flow.Direction, f Fault) {
	h.note("%s %d at %d: %d", f.Kind, d, f.At, f.Bytes)
}

func (h *heard) Exchange(e *Exchange) {
	request, answer := "-", "-"
	if e.Request != nil {
		body, _ := e.Request.Body.Bytes()
		request = fmt.Sprintf("%s %s %q", e.Request.Method, e.Request.Target, body)
	}
	if e.Answer != nil {
		body, _ := e.Answer.Body.Bytes()
		answer = fmt.Sprintf("%d %q +%d", e.Answer.Code, body, len(e.Answer.Early))
	}
	h.note("%s > %s", request, answer)
}

// talk plays what both sides say, "<" before the server's, in segments of size bytes.
func talk(h *heard, limits Limits, size int, ending string, words ...string) Account {
	r := NewReader(limits, nil, h)
	f := &flow.Flow{ID: 1, Addresses: [2]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:2")}}
	r.Opened(f)
	var at [2]int64
	for i, w := range words {
		dir := flow.Direction(0)
		if rest, ok := strings.CutPrefix(w, "<"); ok {
			w, dir = rest, 1
		}
		for len(w) > 0 {
			n := min(size, len(w))
			r.Data(f, dir, at[dir], []byte(w[:n]), int64(i+1), time.Time{})
			at[dir], w = at[dir]+int64(n), w[n:]
		}
	}
	for d := range flow.Direction(2) {
		if ending == "" {
			r.Finished(f, d)
		} else {
			r.Broken(f, d, at[d], ending)
		}
	}
	r.Ended(f, flow.Closed)
	return r.Account()
}

const (
	get  = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n"
	post = "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	ok   = "<HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

func TestMessagesOfAllKinds(t *testing.T) {
	for name, c := range map[string]struct {
		words  []string
		ending string
		limits Limits
		lines  []string
	}{
		"pipelined":        {words: []string{get + post + get, ok + ok[1:], ok}, lines: []string{`GET /a "" > 200 "ok" +0`, `POST /b "abc" > 200 "ok" +0`, `GET /a "" > 200 "ok" +0`, "done closed"}},
		"second cut":       {words: []string{get + post[:30], ok}, ending: "gap", lines: []string{`GET /a "" > 200 "ok" +0`, "cut 0 at 28: 30"}},
		"body cut":         {words: []string{post[:len(post)-1]}, ending: "gap", lines: []string{"cut 0 at 0: 41"}},
		"answer first":     {words: []string{post[:len(post)-2], ok, "bc"}, lines: []string{`POST /b "abc" > 200 "ok" +0`}},
		"chunked":          {words: []string{"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n", ok}, lines: []string{`POST /c "abcde" > 200 "ok" +0`}},
		"chunks, empty":    {words: []string{"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ok}, lines: []string{`POST /c "" > 200 "ok" +0`}},
		"continue":         {words: []string{post[:len(post)-3], "<HTTP/1.1 100 Continue\r\n\r\n", "abc", ok}, lines: []string{`POST /b "abc" > 200 "ok" +1`}},
		"HEAD":             {words: []string{"HEAD /a HTTP/1.1\r\n\r\n" + get, "<HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", ok}, lines: []string{`HEAD /a "" > 200 "" +0`, `GET /a "" > 200 "ok" +0`}},
		"no content":       {words: []string{get + get, "<HTTP/1.1 204 N\r\n\r\n", ok}, lines: []string{`GET /a "" > 204 "" +0`, `GET /a "" > 200 "ok" +0`}},
		"until close":      {words: []string{get, "<HTTP/1.1 200 OK\r\n\r\nall the rest"}, lines: []string{`GET /a "" > 200 "all the rest" +0`}},
		"until a break":    {words: []string{get, "<HTTP/1.1 200 OK\r\n\r\nall"}, ending: "reset", lines: []string{"cut 1 at 0: 22", "unanswered 0 at 0: 0"}},
		"answers alone":    {words: []string{ok}, lines: []string{`- > 200 "ok" +0`, "unasked 1 at 0: 0"}},
		"requests alone":   {words: []string{get}, lines: []string{`GET /a "" > -`, "unanswered 0 at 0: 0"}},
		"length lies":      {words: []string{"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", ok}, lines: []string{"cut 0 at 0: 42"}},
		"length too short": {words: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nabc", ok}, lines: []string{`POST /b "a" > 200 "ok" +0`, "cut 0 at 40: 2"}},
		"length of words":  {words: []string{"POST /b HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}, lines: []string{"bad-length 0 at 0: 40"}},
		"lengths differ":   {words: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"}, lines: []string{"bad-length 0 at 0: 58"}},
		"both framings":    {words: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"}, lines: []string{"bad-length 0 at 0: 67"}},
		"huge length":      {words: []string{"POST /b HTTP/1.1\r\nContent-Length: 4611686018427387903\r\n\r\nabc"}, lines: []string{"too-large 0 at 0: 60"}},
		"huge chunk":       {words: []string{"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\nabc"}, lines: []string{"too-large 0 at 0: 63"}},
		"bad chunk":        {words: []string{"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX\r\n"}, lines: []string{"bad-chunk 0 at 0: 57"}},
		"head too long":    {words: []string{"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 200)}, limits: Limits{Head: 100}, lines: []string{"bad-head 0 at 0: 220"}},
		"bad first line":   {words: []string{"GET /a b HTTP/1.1\r\n\r\n"}, lines: []string{"bad-head 0 at 0: 21"}},
		"bad field":        {words: []string{"GET /a HTTP/1.1\r\nno field\r\n\r\n"}, lines: []string{"bad-head 0 at 0: 29"}},
		"tls":              {words: []string{"\x16\x03\x01\x00\x05hello", "<\x16\x03\x03\x00\x01a"}, lines: []string{"tls 0 at 0: 10", "tls 1 at 0: 6"}},
		"http2":            {words: []string{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"}, lines: []string{"http2 0 at 0: 24"}},
		"noise":            {words: []string{"\x00\x01\x02\x03"}, lines: []string{"not-http 0 at 0: 4"}},
		"old versions":     {words: []string{get, "<HTTP/0.9 200\r\n\r\n"}, lines: []string{"not-http 1 at 0: 16", "unanswered 0 at 0: 0"}},
		"noise behind":     {words: []string{get + "\x00\x01", ok}, lines: []string{`GET /a "" > 200 "ok" +0`, "not-http 0 at 28: 2"}},
		"connect":          {words: []string{"CONNECT b:1 HTTP/1.1\r\n\r\n", "<HTTP/1.1 200 OK\r\n\r\n", "tunnelled", "<too"}, lines: []string{`CONNECT b:1 "" > 200 "" +0`, "tunnel 0 at 24: 9", "tunnel 1 at 19: 3"}},
		"empty lines":      {words: []string{"\r\n" + get, ok}, lines: []string{`GET /a "" > 200 "ok" +0`, "empty-lines 0 at 0: 1", "empty-lines 0 at 1: 1"}},
		"many unpaired":    {words: []string{get + get + get}, limits: Limits{Unpaired: 2}, lines: []string{`GET /a "" > -`, "unanswered 0 at 0: 0", "unanswered 0 at 28: 0", "unanswered 0 at 56: 0"}},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			h := &heard{}
			got := talk(h, c.limits, size, c.ending, c.words...)
			all := "\n" + strings.Join(h.lines, "\n") + "\n"
			for _, line := range c.lines {
				if !strings.Contains(all, "\n"+line+"\n") {
					t.Errorf("%s, by %d: %q is not in %q", name, size, line, h.lines)
				}
			}
			total := int64(0)
			for _, w := range c.words {
				total += int64(len(strings.TrimPrefix(w, "<")))
			}
			if got.Sum() != got.Bytes || got.Bytes != total {
				t.Errorf("%s, by %d: %+v of %d bytes", name, size, got, total)
			}
		}
	}
}

type full struct{}

func (full) New() (Room, error) { return nil, errors.New("the disk is full") }

// A body that nobody can keep is reported, and takes nothing else with it.
func TestABodyThatCannotBeKept(t *testing.T) {
	h := &heard{}
	r := NewReader(Limits{Memory: 10}, full{}, h)
	f := &flow.Flow{ID: 1}
	r.Opened(f)
	r.Data(f, 0, 0, []byte(post+"POST /b HTTP/1.1\r\nContent-Length: 20\r\n\r\n"+strings.Repeat("x", 20)), 1, time.Time{})
	r.Finished(f, 0)
	r.Ended(f, flow.Closed)
	if all := strings.Join(h.lines, "\n"); !strings.Contains(all, "too-large 0 at 42: 60") || !strings.Contains(all, `POST /b "abc"`) {
		t.Errorf("got %q", h.lines)
	}
}

// A body in memory can be read again and again.
func TestABodyInMemory(t *testing.T) {
	f := newFilling(nil, 10)
	if err := f.add([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	b := f.body()
	for range 2 {
		r, err := b.Open()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(r); err != nil || string(got) != "abc" || b.Size != 3 {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if err := b.Drop(); err != nil {
		t.Error(err)
	}
}

// FuzzTalk: go test -fuzz FuzzTalk -fuzztime 60s ./internal/pcap/http
func FuzzTalk(f *testing.F) {
	f.Add(get+post, ok[1:], uint8(3))
	f.Add("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 101 S\r\n\r\nxx", uint8(200))
	f.Fuzz(func(t *testing.T, ask, tell string, size uint8) {
		ask = strings.TrimLeft(ask, "<") // which stands for the server in talk
		h := &heard{}
		got := talk(h, Limits{Head: 256, Memory: 64, Body: 1024, Unpaired: 4}, int(size)+1, "", ask, "<"+tell)
		if got.Sum() != got.Bytes || got.Bytes != int64(len(ask)+len(tell)) {
			t.Errorf("%+v of %d bytes", got, len(ask)+len(tell))
		}
	})
}
