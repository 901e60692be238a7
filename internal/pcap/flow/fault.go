package flow

import "fmt"

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of fault of a stream.
const (
	Gap         FaultKind = "gap"         // missing bytes, at the end of the flow or beyond a buffer limit
	Conflict    FaultKind = "differing"   // retransmission or overlap with different bytes
	Truncated   FaultKind = "snap-cut"    // segment truncated by the snap length of the capture
	BeforeStart FaultKind = "early"       // bytes before the first captured byte of the stream
	OutOfWindow FaultKind = "stray"       // sequence number that is outside any possible window
	AfterFIN    FaultKind = "after-close" // bytes after the stream's FIN
	Unverified  FaultKind = "unheld"      // retransmission of bytes that are no longer retained and cannot be compared
)

// Fault is a defect of a captured stream.
type Fault struct {
	Kind      FaultKind
	Flow      *Flow
	Direction Direction
	Offset    int64 // offset in the stream; 0 is the first captured byte
	Bytes     int64 // number of affected bytes
	Packet    int64 // number of the packet that revealed the fault, from 1
}

// String returns the text of the fault in reports.
func (f Fault) String() string {
	return fmt.Sprintf("%v dir %d at %d: %s: %d bytes, packet %d",
		f.Flow, f.Direction, f.Offset, f.Kind, f.Bytes, f.Packet)
}

// ByteCounts counts payload bytes by their outcome. Payload is the sum of the other fields.
type ByteCounts struct {
	Payload    int64 `json:"Payload"`
	Delivered  int64 `json:"Delivered"` // passed to the sink, in order
	Repeated   int64 `json:"Repeated"`  // equal to known bytes, or a keep-alive probe (RFC 9293, section 3.8.4)
	Conflicts  int64 `json:"Differing"` // different from known bytes
	Unverified int64 `json:"Unheld"`    // retransmissions that could not be compared
	Untrusted  int64 `json:"Untrusted"` // after a gap
	Outside    int64 `json:"Outside"`   // before the start, after the FIN, or outside the window
}

// Sum returns the sum of all outcomes, which equals Payload once no bytes are buffered.
func (c ByteCounts) Sum() int64 {
	return c.Delivered + c.Repeated + c.Conflicts + c.Unverified + c.Untrusted + c.Outside
}
