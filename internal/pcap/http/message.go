// Package http parses the HTTP/1.1 messages in the byte streams of captured connections (RFC 9112),
// pairs requests with their responses, and accounts for every byte as part of a request, a response
// or a fault. It does no I/O and reads no clock. A body that exceeds a limit is written to a
// [Store] of the caller.
package http

import (
	"strings"
	"time"
)

// Field is a captured header field, without the white space around its name and its value.
type Field struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	IsRequest   bool
	Method      string // request only
	Target      string // request only
	StatusCode  int    // response only
	Proto       string
	Header      []Field
	RawHead     []byte // captured bytes of the head, with the empty line
	Body        Body   // content without the transfer coding
	Chunked     bool
	UntilClose  bool  // response body that ends with the connection (RFC 9112, section 6.3, rule 8)
	Offset      int64 // offset of the first byte in the stream
	EndOffset   int64 // offset after the last byte in the stream
	FirstPacket int64
	LastPacket  int64
	Began       time.Time  // time of the packet with the first byte
	Ended       time.Time  // time of the packet with the last byte
	Interim     []*Message // 1xx responses before a final response
}

// FieldValue returns the first value of a field, or an empty string. The case of the name is
// ignored.
func (m *Message) FieldValue(name string) string {
	for _, field := range m.Header {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}
