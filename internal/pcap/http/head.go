package http

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

var errStartLine = errors.New("invalid start line")

// parseHead parses RawHead: the start line and the fields.
func (m *Message) parseHead() error {
	line, rest, _ := strings.Cut(string(m.RawHead), "\r\n")
	if err := m.parseStartLine(line); err != nil {
		return err
	}
	for {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if line == "" {
			return nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.Trim(name, tokenCharacters) != "" {
			return fmt.Errorf("invalid header field %.60q", line)
		}
		m.Header = append(m.Header, Field{Name: name, Value: strings.Trim(value, " \t")})
	}
}

// parseStartLine parses the start line of a message.
func (m *Message) parseStartLine(line string) error {
	if m.IsRequest {
		return m.parseRequestLine(line)
	}
	return m.parseStatusLine(line)
}

// parseRequestLine parses a request line (RFC 9112, section 3).
func (m *Message) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return fmt.Errorf("%w %.60q: expected a method, a target and HTTP/1.1", errStartLine, line)
	}
	m.Method, m.Target, m.Proto = parts[0], parts[1], parts[2]
	return nil
}

// parseStatusLine parses a status line (RFC 9112, section 4).
func (m *Message) parseStatusLine(line string) error {
	proto, status, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(status, " ")
	code, err := strconv.Atoi(text)
	if err != nil || len(text) != 3 || code < 100 {
		return fmt.Errorf("%w %.60q: expected HTTP/1.1 and a status code", errStartLine, line)
	}
	m.Proto, m.StatusCode = proto, code
	return nil
}

// parseFraming returns the length of the body, and sets Chunked or UntilClose if the head does not
// contain the length (RFC 9112, section 6.3). The method is the method of the request. Ambiguous
// framing is an error, since the capture does not show how the receiver interpreted it.
func (m *Message) parseFraming(method string) (int64, error) {
	if !m.IsRequest && isBodiless(method, m.StatusCode) {
		return 0, nil
	}
	var lengths, codings []string
	for _, field := range m.Header {
		switch {
		case strings.EqualFold(field.Name, "Content-Length"):
			lengths = append(lengths, field.Value)
		case strings.EqualFold(field.Name, "Transfer-Encoding"):
			codings = append(codings, field.Value)
		}
	}
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, errors.New("both Content-Length and Transfer-Encoding")
		}
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return 0, fmt.Errorf("unsupported Transfer-Encoding %.40q: expected chunked", strings.Join(codings, ", "))
		}
		m.Chunked = true
		return 0, nil
	}
	if len(lengths) == 0 {
		m.UntilClose = !m.IsRequest
		return 0, nil
	}
	return parseContentLength(lengths)
}

// isBodiless reports whether a response has no body regardless of its header fields.
func isBodiless(method string, statusCode int) bool {
	return method == http.MethodHead ||
		statusCode/100 == 1 ||
		statusCode == http.StatusNoContent ||
		statusCode == http.StatusNotModified ||
		method == http.MethodConnect && statusCode/100 == 2
}

// parseContentLength returns the value of Content-Length. Different values are an error.
func parseContentLength(values []string) (int64, error) {
	for _, value := range values[1:] {
		if value != values[0] {
			return 0, fmt.Errorf("conflicting Content-Length values %.20q and %.20q", values[0], value)
		}
	}
	length, err := strconv.ParseUint(values[0], 10, 62)
	if err != nil {
		return 0, fmt.Errorf("invalid Content-Length %.20q", values[0])
	}
	return int64(length), nil
}
