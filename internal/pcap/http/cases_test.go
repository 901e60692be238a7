package http

import "strings"

// connectionCases are the cases of TestMessagesAndFaultsOfAllKinds. Faults are written as kind,
// direction, offset and number of bytes.
var connectionCases = map[string]connectionCase{
	"pipelined": {
		sent: []string{get + post + get, ok + ok[1:], ok},
		want: []string{
			`GET /a "" > 200 "ok" +0`,
			`POST /b "abc" > 200 "ok" +0`,
			`GET /a "" > 200 "ok" +0`,
			"done closed",
		},
	},
	"truncated second request": {
		sent:     []string{get + post[:30], ok},
		brokenBy: "gap",
		want:     []string{`GET /a "" > 200 "ok" +0`, "cut 0 at 28: 30"},
	},
	"truncated body": {
		sent:     []string{post[:len(post)-1]},
		brokenBy: "gap",
		want:     []string{"cut 0 at 0: 41"},
	},
	"response before the end of the request": {
		sent: []string{post[:len(post)-2], ok, "bc"},
		want: []string{`POST /b "abc" > 200 "ok" +0`},
	},
	"chunked": {
		sent: []string{
			"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n",
			ok,
		},
		want: []string{`POST /c "abcde" > 200 "ok" +0`},
	},
	"chunked, empty body": {
		sent: []string{"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ok},
		want: []string{`POST /c "" > 200 "ok" +0`},
	},
	"continue": {
		sent: []string{post[:len(post)-3], "<HTTP/1.1 100 Continue\r\n\r\n", "abc", ok},
		want: []string{`POST /b "abc" > 200 "ok" +1`},
	},
	"HEAD": {
		sent: []string{
			"HEAD /a HTTP/1.1\r\n\r\n" + get,
			"<HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
			ok,
		},
		want: []string{`HEAD /a "" > 200 "" +0`, `GET /a "" > 200 "ok" +0`},
	},
	"no content": {
		sent: []string{get + get, "<HTTP/1.1 204 N\r\n\r\n", ok},
		want: []string{`GET /a "" > 204 "" +0`, `GET /a "" > 200 "ok" +0`},
	},
	"body until close": {
		sent: []string{get, "<HTTP/1.1 200 OK\r\n\r\nall the rest"},
		want: []string{`GET /a "" > 200 "all the rest" +0`},
	},
	"body until reset": {
		sent:     []string{get, "<HTTP/1.1 200 OK\r\n\r\nall"},
		brokenBy: "reset",
		want:     []string{"cut 1 at 0: 22", "unanswered 0 at 0: 0"},
	},
	"response without request": {
		sent: []string{ok},
		want: []string{`- > 200 "ok" +0`, "unasked 1 at 0: 0"},
	},
	"request without response": {
		sent: []string{get},
		want: []string{`GET /a "" > -`, "unanswered 0 at 0: 0"},
	},
	"length too long": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", ok},
		want: []string{"cut 0 at 0: 42"},
	},
	"length too short": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nabc", ok},
		want: []string{`POST /b "a" > 200 "ok" +0`, "cut 0 at 40: 2"},
	},
	"length not a number": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: -1\r\n\r\n"},
		want: []string{"bad-length 0 at 0: 40"},
	},
	"conflicting lengths": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"},
		want: []string{"bad-length 0 at 0: 58"},
	},
	"both framings": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		want: []string{"bad-length 0 at 0: 67"},
	},
	"huge length": {
		sent: []string{"POST /b HTTP/1.1\r\nContent-Length: 4611686018427387903\r\n\r\nabc"},
		want: []string{"too-large 0 at 0: 60"},
	},
	"huge chunk": {
		sent: []string{"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\nabc"},
		want: []string{"too-large 0 at 0: 63"},
	},
	"malformed chunk": {
		sent: []string{"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX\r\n"},
		want: []string{"bad-chunk 0 at 0: 57"},
	},
	"head too long": {
		sent:   []string{"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 200)},
		limits: Limits{Head: 100},
		want:   []string{"bad-head 0 at 0: 220"},
	},
	"malformed request line": {
		sent: []string{"GET /a b HTTP/1.1\r\n\r\n"},
		want: []string{"bad-head 0 at 0: 21"},
	},
	"malformed header field": {
		sent: []string{"GET /a HTTP/1.1\r\nno field\r\n\r\n"},
		want: []string{"bad-head 0 at 0: 29"},
	},
	"tls": {
		sent: []string{"\x16\x03\x01\x00\x05hello", "<\x16\x03\x03\x00\x01a"},
		want: []string{"tls 0 at 0: 10", "tls 1 at 0: 6"},
	},
	"http2": {
		sent: []string{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
		want: []string{"http2 0 at 0: 24"},
	},
	"not HTTP": {
		sent: []string{"\x00\x01\x02\x03"},
		want: []string{"not-http 0 at 0: 4"},
	},
	"HTTP/0.9": {
		sent: []string{get, "<HTTP/0.9 200\r\n\r\n"},
		want: []string{"not-http 1 at 0: 16", "unanswered 0 at 0: 0"},
	},
	"not HTTP after a request": {
		sent: []string{get + "\x00\x01", ok},
		want: []string{`GET /a "" > 200 "ok" +0`, "not-http 0 at 28: 2"},
	},
	"connect": {
		sent: []string{"CONNECT b:1 HTTP/1.1\r\n\r\n", "<HTTP/1.1 200 OK\r\n\r\n", "tunnelled", "<too"},
		want: []string{`CONNECT b:1 "" > 200 "" +0`, "tunnel 0 at 24: 9", "tunnel 1 at 19: 3"},
	},
	"empty lines": {
		sent: []string{"\r\n" + get, ok},
		want: []string{`GET /a "" > 200 "ok" +0`, "empty-lines 0 at 0: 1", "empty-lines 0 at 1: 1"},
	},
	"unpaired requests over the limit": {
		sent:   []string{get + get + get},
		limits: Limits{Unpaired: 2},
		want: []string{
			`GET /a "" > -`,
			"unanswered 0 at 0: 0",
			"unanswered 0 at 28: 0",
			"unanswered 0 at 56: 0",
		},
	},
}
