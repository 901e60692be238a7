// Package http finds the HTTP/1.1 messages in the byte streams of captured connections (RFC 9112),
// pairs requests with their responses, and accounts for every byte: it belongs to a request, to a
// response, or to a fault. It does no I/O and reads no clock; a body beyond a limit goes to a
// [Store] that the caller gives.
package http

import (
	"strings"
	"time"
)

// Field is a header field as captured, without the white space around its name and its value.
type Field struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	IsRequest   bool
	Method      string // of a request
	Target      string // of a request
	StatusCode  int    // of a response
	Proto       string
	Header      []Field
	RawHead     []byte // the head's bytes, with the empty line
	Body        Body   // without the transfer coding
	Chunked     bool
	UntilClose  bool  // a response whose body ends with the connection (RFC 9112, section 6.3, rule 8)
	Offset      int64 // in the stream, of the first byte
	EndOffset   int64 // in the stream, behind the last byte
	FirstPacket int64
	LastPacket  int64
	Began       time.Time  // of the packet with the first byte
	Ended       time.Time  // of the packet with the last byte
	Interim     []*Message // the 1xx responses before a response
}

// FieldValue returns the first value of a field, or an empty string. The name's case is ignored.
func (m *Message) FieldValue(name string) string {
	for _, field := range m.Header {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}
