package http

// FaultKind is a kind of fault.
type FaultKind string

// The faults of a stream.
const (
	TLS               FaultKind = "tls"         // a TLS record (RFC 8446, section 5.1): not readable
	HTTP2             FaultKind = "http2"       // the connection preface of HTTP/2 (RFC 9113, section 3.4)
	NotHTTP           FaultKind = "not-http"    // no HTTP/1.1 message begins here
	MalformedHead     FaultKind = "bad-head"    // a head that cannot be parsed, or is too long
	MalformedLength   FaultKind = "bad-length"  // an invalid length, or two framings (RFC 9112, section 6.1)
	MalformedChunk    FaultKind = "bad-chunk"   // a chunk or a trailer that cannot be parsed
	TooLarge          FaultKind = "too-large"   // a body beyond the limit
	Truncated         FaultKind = "cut"         // the stream ends within a message
	UnmatchedResponse FaultKind = "unasked"     // a response whose request was not seen
	UnmatchedRequest  FaultKind = "unanswered"  // a request whose response was not seen
	Tunnel            FaultKind = "tunnel"      // bytes after a CONNECT or an upgrade
	EmptyLines        FaultKind = "empty-lines" // before a request line; ignored (RFC 9112, section 2.2)
)

// Fault is a range of a stream that belongs to no message, or a message without its counterpart.
type Fault struct {
	Kind   FaultKind
	Reason string
	Offset int64 // in the stream
	Bytes  int64 // 0 for a message without its counterpart
	Packet int64
}

// ByteCounts counts the bytes of streams by what they belong to. Bytes is the sum of the others.
type ByteCounts struct {
	Bytes    int64 `json:"Bytes"`
	Request  int64 `json:"Request"`
	Response int64 `json:"Answer"`
	Faulty   int64 `json:"Faulty"`
}

// Sum returns what Bytes should be.
func (c ByteCounts) Sum() int64 { return c.Request + c.Response + c.Faulty }
