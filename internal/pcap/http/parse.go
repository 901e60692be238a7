// Package http finds the HTTP/1.1 messages in the byte streams of captured connections (RFC 9112), pairs requests
// with their answers, and accounts for every byte: it belongs to a request, to an answer, or to a named fault. It
// does no I/O and reads no clock; a body beyond a limit goes to a store that the caller gives.
package http

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limits bound what a Reader holds. Zero values stand for the defaults.
type Limits struct {
	Head     int   // bytes of a message's head, or of a chunked body's trailer (default 64 KiB)
	Memory   int   // bytes of a body in memory; beyond it the body goes to Store (default 64 KiB)
	Body     int64 // bytes of a body in all; a longer one is a fault (default 64 MiB)
	Unpaired int   // requests of a connection that wait for an answer (default 1024)
}

const (
	defaultHead     = 64 << 10
	defaultMemory   = 64 << 10
	defaultBody     = 64 << 20
	defaultUnpaired = 1024
	mostChunkLine   = 4 << 10 // bytes of a chunk's size and extensions
)

// Field is a header field as it stands, its name and value without the white space around them.
type Field struct{ Name, Value string }

// Message is a request or an answer.
type Message struct {
	Request     bool
	Method      string // of a request
	Target      string
	Code        int // of an answer
	Proto       string
	Header      []Field
	Head        []byte // the head's bytes, with the empty line
	Body        Body   // without the framing
	Chunked     bool
	UntilClose  bool  // an answer that the connection's end ends (RFC 9112, section 6.3, rule 8)
	At, End     int64 // places in the stream
	FirstPacket int64
	LastPacket  int64
	Began       time.Time // of the packet with its first byte
	Ended       time.Time
	Early       []*Message // 1xx answers ahead of an answer
}

// Get is the first value of a field, whose name is compared without case.
func (m *Message) Get(name string) string {
	for _, f := range m.Header {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Kind names what is wrong with the bytes of a stream.
type Kind string

// The faults of a stream.
const (
	TLS        Kind = "tls"         // a TLS record (RFC 8446, section 5.1): not to be read
	HTTP2      Kind = "http2"       // the preface of HTTP/2 (RFC 9113, section 3.4)
	Noise      Kind = "not-http"    // no message of HTTP/1.1 begins here
	BadHead    Kind = "bad-head"    // a head that makes no sense, or does not end
	BadLength  Kind = "bad-length"  // a length that makes no sense, or two framings (RFC 9112, section 6.1)
	BadChunk   Kind = "bad-chunk"   // a chunk that makes no sense
	TooLarge   Kind = "too-large"   // a body beyond the limit
	Cut        Kind = "cut"         // the stream ends within a message
	Spare      Kind = "spare"       // bytes behind what the connection was to carry
	Unasked    Kind = "unasked"     // an answer that no request was seen for
	Unanswered Kind = "unanswered"  // a request whose answer was not seen
	Tunnel     Kind = "tunnel"      // what follows a CONNECT or an upgrade
	Lines      Kind = "empty-lines" // before a request line; ignored (RFC 9112, section 2.2)
)

// Fault is a stretch of a stream that belongs to no message, or a message that lacks its other.
type Fault struct {
	Kind   Kind
	Why    string
	At     int64 // place in the stream
	Bytes  int64 // 0: of a pair
	Packet int64
}

// half parses one direction.
type half struct {
	limits  *Limits
	bodies  Store
	request bool // set by what its first bytes are, or by the connection
	known   bool // request is

	state   state
	at      int64 // place of the next byte
	from    int64 // of the message or the fault that is under way
	buf     []byte
	msg     *Message
	body    *filling
	left    int64 // of the body, or of the chunk
	packet  int64
	time    time.Time
	began   time.Time
	first   int64
	fault   *Fault        // that is under way: all bytes to the end belong to it
	method  func() string // of the request that the next answer is for
	message func(*Message)
	report  func(Fault)
}

type state int

const (
	inStart state = iota
	inHead
	inBody
	inSize
	inChunk
	inChunkEnd
	inTrailer
	inClose
	inFault
)

// take takes the next bytes.
func (h *half) take(data []byte, packet int64, t time.Time) {
	h.packet, h.time = packet, t
	for len(data) > 0 {
		n := h.step(data)
		h.at += int64(n)
		data = data[n:]
	}
}

// step uses some of the bytes, at least one, but where it only changes state: then it may use none.
func (h *half) step(data []byte) int {
	switch h.state {
	case inStart:
		if data[0] == '\r' || data[0] == '\n' {
			h.report(Fault{Lines, "an empty line before a message", h.at, 1, h.packet})
			return 1
		}
		h.from, h.first, h.began, h.buf, h.state = h.at, h.packet, h.time, h.buf[:0], inHead
		return 0
	case inHead:
		return h.line(data, h.limits.Head, BadHead, "a head that does not end", "\r\n\r\n", h.head)
	case inBody, inChunk, inClose:
		return h.fill(data)
	case inSize:
		return h.line(data, mostChunkLine, BadChunk, "a chunk size that does not end", "\r\n", h.size)
	case inChunkEnd:
		return h.line(data, 2, BadChunk, "bytes behind a chunk", "\r\n", h.chunkEnd)
	case inTrailer:
		return h.line(data, h.limits.Head, BadChunk, "a trailer that does not end", "", h.trailer)
	}
	h.fault.Bytes += int64(len(data))
	return len(data)
}

// line gathers bytes until they end with end, and hands them on. The trailer has an end of its own kind: an empty line.
func (h *half) line(data []byte, most int, kind Kind, why, end string, done func([]byte)) int {
	old := len(h.buf)
	h.buf = append(h.buf, data[:min(len(data), most+4-min(old, most))]...)
	i, n := -1, len(end)
	if end == "" {
		if bytes.HasPrefix(h.buf, []byte("\r\n")) {
			i, n = 0, 2
		} else {
			end, n = "\r\n\r\n", 4
		}
	}
	if i < 0 {
		from := max(0, old-n+1)
		if i = bytes.Index(h.buf[from:], []byte(end)); i >= 0 {
			i += from
		}
	}
	if h.state == inHead {
		if k, text := classify(h.buf, h.known, h.request, i >= 0); k != "" {
			used := len(h.buf) - old
			h.spoil(k, text, int64(used))
			return used
		}
	}
	if i < 0 {
		used := len(h.buf) - old
		if len(h.buf) > most {
			h.spoil(kind, why, int64(used))
		}
		return used
	}
	whole := h.buf[:i+n]
	used := len(whole) - old
	rest := h.at + int64(used)
	at := h.at
	h.at = rest // done may report places
	done(whole)
	h.at = at
	h.buf = h.buf[:0]
	return used
}

// spoil has all that belongs to the message under way, and all that follows, belong to a fault.
func (h *half) spoil(kind Kind, why string, used int64) {
	if h.body != nil {
		h.body.drop()
		h.body = nil
	}
	h.fault = &Fault{kind, why, h.from, h.at + used - h.from, h.packet}
	h.msg, h.buf, h.state = nil, nil, inFault
}

const methodLetters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// classify tells what a stream is by the first bytes of a message, as far as they go.
func classify(b []byte, known, request, whole bool) (Kind, string) {
	answer := []byte("HTTP/1.")
	switch {
	case len(b) >= 3 && b[0] >= 0x14 && b[0] <= 0x17 && b[1] == 3 && b[2] <= 4:
		return TLS, "a TLS record"
	case bytes.HasPrefix(b, []byte("PRI * HTTP/2.0")):
		return HTTP2, "the preface of HTTP/2"
	case known && !request || !known && bytes.HasPrefix(b, []byte("HTTP/")):
		if n := min(len(b), len(answer)); !bytes.Equal(b[:n], answer[:n]) {
			return Noise, fmt.Sprintf("found %.16q, expected a status line", b)
		}
		return "", ""
	}
	if b[0] >= 0x14 && b[0] <= 0x17 && len(b) < 3 && !whole {
		return "", "" // it may be TLS
	}
	// A request line begins with a method (RFC 9110, section 9.1) and a space.
	for i, c := range b {
		if c == ' ' && i > 0 {
			return "", ""
		}
		if !strings.ContainsRune(methodLetters, rune(c)) && !(c == '/' && i == 4 && !known && bytes.HasPrefix(answer, b[:i])) || i > 32 {
			return Noise, fmt.Sprintf("found %.16q, expected a request line", b)
		}
	}
	return "", ""
}

// head reads a whole head.
func (h *half) head(b []byte) {
	m := &Message{Head: bytes.Clone(b), At: h.from, FirstPacket: h.first, Began: h.began}
	if !h.known {
		h.known, h.request = true, !bytes.HasPrefix(b, []byte("HTTP/1."))
	}
	m.Request = h.request
	if err := m.read(); err != nil {
		h.spoil(BadHead, err.Error(), 0)
		return
	}
	method := m.Method
	if !m.Request {
		method = h.method()
	}
	length, err := m.framing(method)
	if err != nil {
		h.spoil(BadLength, err.Error(), 0)
		return
	}
	if length > h.limits.Body {
		h.spoil(TooLarge, fmt.Sprintf("a body of %d bytes, of at most %d", length, h.limits.Body), 0)
		return
	}
	h.msg, h.body = m, newFilling(h.bodies, h.limits.Memory)
	switch {
	case m.Chunked:
		h.state = inSize
	case m.UntilClose:
		h.state, h.left = inClose, -1
	case length == 0:
		h.finish()
	default:
		h.state, h.left = inBody, length
	}
}

// fill takes bytes of a body.
func (h *half) fill(data []byte) int {
	if h.left >= 0 {
		data = data[:min(int64(len(data)), h.left)]
	}
	if h.body.size+int64(len(data)) > h.limits.Body {
		h.spoil(TooLarge, fmt.Sprintf("a body of over %d bytes", h.limits.Body), int64(len(data)))
		return len(data)
	}
	if err := h.body.add(data); err != nil {
		h.spoil(TooLarge, "nowhere to keep the body: "+err.Error(), int64(len(data)))
		return len(data)
	}
	if h.left < 0 {
		return len(data)
	}
	if h.left -= int64(len(data)); h.left == 0 {
		if h.state == inChunk {
			h.state = inChunkEnd
		} else {
			h.at += int64(len(data))
			h.finish()
			h.at -= int64(len(data))
		}
	}
	return len(data)
}

// size reads a chunk's size (RFC 9112, section 7.1).
func (h *half) size(b []byte) {
	text, _, _ := strings.Cut(string(b[:len(b)-2]), ";")
	text = strings.TrimRight(text, " \t")
	n, err := strconv.ParseUint(text, 16, 62)
	if err != nil || text == "" {
		h.spoil(BadChunk, fmt.Sprintf("found %.20q, expected a chunk's size", b), 0)
		return
	}
	if n > uint64(h.limits.Body) {
		h.spoil(TooLarge, fmt.Sprintf("a chunk of %d bytes, of at most %d", n, h.limits.Body), 0)
		return
	}
	if h.state, h.left = inChunk, int64(n); n == 0 {
		h.state = inTrailer
	}
}

func (h *half) chunkEnd(b []byte) {
	if len(b) != 2 {
		h.spoil(BadChunk, fmt.Sprintf("found %.10q behind a chunk, expected its end", b), 0)
		return
	}
	h.state = inSize
}

func (h *half) trailer([]byte) { h.finish() }

// finish hands a whole message on.
func (h *half) finish() {
	m := h.msg
	m.Body, m.End, m.LastPacket, m.Ended = h.body.body(), h.at, h.packet, h.time
	h.msg, h.body, h.state = nil, nil, inStart
	h.message(m)
}

// divert has what follows the last message belong to a fault.
func (h *half) divert(kind Kind, why string) {
	if h.state == inFault {
		return
	}
	if h.state == inStart {
		h.from = h.at
	}
	h.spoil(kind, why, 0)
}

// end takes the end of the stream; clean tells whether it was the sender's own, with nothing missing.
func (h *half) end(clean bool, why string) {
	switch h.state {
	case inStart:
		return
	case inClose:
		if clean {
			h.finish()
			return
		}
	case inFault:
		if h.fault.Bytes > 0 {
			h.report(*h.fault)
		}
		h.fault.Bytes = 0
		return
	}
	h.spoil(Cut, "the stream ends within a message: "+why, 0)
	if h.fault.Bytes > 0 {
		h.report(*h.fault)
	}
	h.fault.Bytes = 0
}

var errStart = errors.New("the first line makes no sense")

// read reads the head's lines.
func (m *Message) read() error {
	line, rest, _ := strings.Cut(string(m.Head), "\r\n")
	if m.Request {
		parts := strings.Split(line, " ")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") {
			return fmt.Errorf("%w: found %.60q, expected a method, a target and HTTP/1.1", errStart, line)
		}
		m.Method, m.Target, m.Proto = parts[0], parts[1], parts[2]
	} else {
		proto, status, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(status, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 {
			return fmt.Errorf("%w: found %.60q, expected HTTP/1.1 and a status", errStart, line)
		}
		m.Proto, m.Code = proto, n
	}
	for {
		if line, rest, _ = strings.Cut(rest, "\r\n"); line == "" {
			return nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.Trim(name, methodLetters) != "" {
			return fmt.Errorf("found %.60q, expected a field", line)
		}
		m.Header = append(m.Header, Field{name, strings.Trim(value, " \t")})
	}
}

// framing is how long the body is (RFC 9112, section 6.3); method is the request's. What could be read in two ways
// is an error, since the capture does not tell which way its receiver took.
func (m *Message) framing(method string) (int64, error) {
	var lengths, codings []string
	for _, f := range m.Header {
		if strings.EqualFold(f.Name, "Content-Length") {
			lengths = append(lengths, f.Value)
		} else if strings.EqualFold(f.Name, "Transfer-Encoding") {
			codings = append(codings, f.Value)
		}
	}
	if !m.Request && (method == "HEAD" || m.Code/100 == 1 || m.Code == 204 || m.Code == 304 || method == "CONNECT" && m.Code/100 == 2) {
		return 0, nil
	}
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, errors.New("both Content-Length and Transfer-Encoding")
		}
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return 0, fmt.Errorf("Transfer-Encoding: found %.40q, expected chunked", strings.Join(codings, ", "))
		}
		m.Chunked = true
		return 0, nil
	}
	if len(lengths) == 0 {
		m.UntilClose = !m.Request
		return 0, nil
	}
	for _, l := range lengths[1:] {
		if l != lengths[0] {
			return 0, fmt.Errorf("Content-Length: found %.20q and %.20q", lengths[0], l)
		}
	}
	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return 0, fmt.Errorf("Content-Length: found %.20q, expected a number", lengths[0])
	}
	return int64(n), nil
}
