package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/front"
	"fernlanding/internal/route"
)

const (
	maxRequestHead   = 16 << 10 // bytes of a request head
	maxRequestFields = 100      // fields of a request head
	maxLengthDigits  = 18       // digits of a Content-Length: they always fit into an int64
)

var (
	errHeadTooLarge = &front.RequestError{
		Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the head is too large",
	}
	errTooManyFields = &front.RequestError{
		Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the head has too many fields",
	}
	errVersion = &front.RequestError{
		Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is spoken here",
	}
	errMalformedHead = badRequest("malformed head")
)

// clientRequest is a request that a client has sent.
type clientRequest struct {
	*http.Request // the head; its Body is not used
	headSize      int
	arrived       time.Time
	unforwarded   bool // it has been answered without an attempt, as far as the front knows
}

// badRequest returns the error of an invalid request.
func badRequest(reason string) *front.RequestError {
	return &front.RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// checkSize rejects a head, complete or not, that is too long.
func (s *headScanner) checkSize(received int) *front.RequestError {
	fields := s.lines - 1 // without the request line
	if s.complete {
		fields-- // the empty line
	}
	switch {
	case fields > maxRequestFields:
		return errTooManyFields
	case s.size > maxRequestHead, !s.complete && received > maxRequestHead:
		return errHeadTooLarge
	}
	return nil
}

// headReaders is a pool of readers of type *textproto.Reader.
var headReaders = sync.Pool{New: func() any { return textproto.NewReader(bufio.NewReader(nil)) }}

// parseHead parses a complete head (RFC 9112, sections 2 to 4). The request has no body: only its
// ContentLength tells the length of the body that follows. The result does not refer to head.
func parseHead(head []byte) (*http.Request, *front.RequestError) {
	reader, _ := headReaders.Get().(*textproto.Reader)
	defer headReaders.Put(reader)
	reader.R.Reset(bytes.NewReader(bytes.TrimLeft(head, "\r\n"))) // RFC 9112, section 2.2: empty lines ahead
	line, err := reader.ReadLine()
	if err != nil {
		return nil, errMalformedHead
	}
	r, reqErr := parseRequestLine(line)
	if reqErr != nil {
		return nil, reqErr
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, errMalformedHead
	}
	r.Header = http.Header(header)
	if reqErr := setHost(r); reqErr != nil {
		return nil, reqErr
	}
	r.Close = r.ProtoMinor == 0 || hasToken(r.Header["Connection"], "close")
	return r, setContentLength(r)
}

// parseRequestLine parses the line "METHOD TARGET HTTP/1.1".
func parseRequestLine(line string) (*http.Request, *front.RequestError) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	if !route.IsToken(method) || target == "" {
		return nil, errMalformedHead
	}
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok {
		return nil, errMalformedHead
	}
	if major != 1 {
		return nil, errVersion
	}
	requestURL, err := parseTarget(method, target)
	if err != nil {
		return nil, badRequest("malformed target")
	}
	return &http.Request{
		Method: method, RequestURI: target, URL: requestURL, Proto: version, ProtoMajor: major, ProtoMinor: minor,
	}, nil
}

// parseTarget parses the target of a request (RFC 9112, section 3.2).
func parseTarget(method, target string) (*url.URL, error) {
	if method != http.MethodConnect || strings.HasPrefix(target, "/") {
		return url.ParseRequestURI(target)
	}
	authority, err := url.ParseRequestURI("http://" + target)
	if err != nil {
		return nil, err
	}
	authority.Scheme = ""
	return authority, nil
}

// setHost sets the host of a request, which has exactly one Host field (RFC 9112, section 3.2). A
// request of HTTP/1.0, such as a health check, may have none.
func setHost(r *http.Request) *front.RequestError {
	hosts := r.Header["Host"]
	if len(hosts) == 0 && r.ProtoMinor == 0 {
		return nil
	}
	if len(hosts) != 1 {
		return badRequest("a request needs one Host")
	}
	if strings.ContainsAny(hosts[0], " \t/\\?#@") {
		return badRequest("malformed Host")
	}
	r.Host = hosts[0]
	if r.URL.Host != "" { // RFC 9112, section 3.2.2: an absolute target has precedence
		r.Host = r.URL.Host
	}
	delete(r.Header, "Host")
	return nil
}

// setContentLength sets the length of a request's body. It rejects requests whose end is ambiguous:
// with a Transfer-Encoding beside a Content-Length, the body may hide another request.
func setContentLength(r *http.Request) *front.RequestError {
	if codings := r.Header["Transfer-Encoding"]; len(codings) > 0 && r.ProtoMinor > 0 {
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return &front.RequestError{Status: http.StatusNotImplemented, Reason: "unknown transfer coding"}
		}
		return &front.RequestError{Status: http.StatusLengthRequired, Reason: "a body needs Content-Length alone"}
	}
	for i, text := range r.Header["Content-Length"] {
		length, err := parseContentLength(text)
		if err != nil || i > 0 && length != r.ContentLength {
			return badRequest("malformed or conflicting Content-Length")
		}
		r.ContentLength = length
	}
	return nil
}

var errMalformedLength = errors.New("malformed length")

// parseContentLength parses 1*DIGIT (RFC 9110, section 8.6).
func parseContentLength(text string) (int64, error) {
	text = textproto.TrimString(text)
	if text == "" || len(text) > maxLengthDigits || strings.Trim(text, "0123456789") != "" {
		return 0, errMalformedLength
	}
	return strconv.ParseInt(text, 10, 64)
}

// hasToken reports whether a comma-separated list, in any of the lines, contains a token.
func hasToken(lines []string, token string) bool {
	for _, line := range lines {
		for item := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(item), token) {
				return true
			}
		}
	}
	return false
}
