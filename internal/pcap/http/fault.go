package http

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of fault of a stream.
const (
	TLS               FaultKind = "tls"         // TLS record (RFC 8446, section 5.1), whose content cannot be read
	HTTP2             FaultKind = "http2"       // connection preface of HTTP/2 (RFC 9113, section 3.4)
	NotHTTP           FaultKind = "not-http"    // not the start of an HTTP/1.1 message
	MalformedHead     FaultKind = "bad-head"    // head that cannot be parsed, or that is too long
	MalformedLength   FaultKind = "bad-length"  // invalid length, or ambiguous framing (RFC 9112, section 6.1)
	MalformedChunk    FaultKind = "bad-chunk"   // chunk or trailer that cannot be parsed
	TooLarge          FaultKind = "too-large"   // body that exceeds Limits.Body or that cannot be stored
	Truncated         FaultKind = "cut"         // stream that ends within a message
	UnmatchedResponse FaultKind = "unasked"     // response whose request was not captured
	UnmatchedRequest  FaultKind = "unanswered"  // request whose response was not captured
	Tunnel            FaultKind = "tunnel"      // bytes after a CONNECT or an upgrade
	EmptyLines        FaultKind = "empty-lines" // before a request line; ignored (RFC 9112, section 2.2)
)

// Fault is a range of a stream that belongs to no message, or a message that has no counterpart.
type Fault struct {
	Kind   FaultKind
	Reason string
	Offset int64 // offset in the stream
	Bytes  int64 // 0 for a message that has no counterpart
	Packet int64 // number of the packet, from 1
}

// ByteCounts counts the bytes of streams by their use. Bytes is the sum of the other fields.
type ByteCounts struct {
	Bytes    int64 `json:"Bytes"`
	Request  int64 `json:"Request"`
	Response int64 `json:"Answer"`
	Faulty   int64 `json:"Faulty"`
}

// Sum returns the sum of all uses, which equals Bytes once all flows have ended.
func (c ByteCounts) Sum() int64 { return c.Request + c.Response + c.Faulty }
