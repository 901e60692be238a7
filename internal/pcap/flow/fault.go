package flow

import "fmt"

// FaultKind is a kind of fault.
type FaultKind string

// The faults of a stream.
const (
	Gap         FaultKind = "gap"         // bytes are missing, or more are buffered behind them than may be
	Conflict    FaultKind = "differing"   // other bytes for an offset that has been seen
	Truncated   FaultKind = "snap-cut"    // the capture cut a segment short
	BeforeStart FaultKind = "early"       // bytes before the first that was seen of this stream
	OutOfWindow FaultKind = "stray"       // a sequence number that fits no window
	AfterFIN    FaultKind = "after-close" // bytes beyond the stream's FIN
	Unverified  FaultKind = "unheld"      // a retransmission of bytes that are no longer retained: not compared
)

// Fault is something wrong with a stream.
type Fault struct {
	Kind      FaultKind
	Flow      *Flow
	Direction Direction
	Offset    int64 // in the stream, from 0 at the first byte seen
	Bytes     int64 // concerned
	Packet    int64
}

// String returns the fault's line in a report.
func (f Fault) String() string {
	return fmt.Sprintf("%v dir %d at %d: %s: %d bytes, packet %d",
		f.Flow, f.Direction, f.Offset, f.Kind, f.Bytes, f.Packet)
}

// ByteCounts counts payload bytes by what became of them. Payload is the sum of the others.
type ByteCounts struct {
	Payload    int64 `json:"Payload"`
	Delivered  int64 `json:"Delivered"` // handed on, in order
	Repeated   int64 `json:"Repeated"`  // equal to what was there, or a keep-alive's byte (RFC 9293, section 3.8.4)
	Conflicts  int64 `json:"Differing"` // not equal to what was there
	Unverified int64 `json:"Unheld"`    // retransmissions that could not be compared
	Untrusted  int64 `json:"Untrusted"` // beyond a gap
	Outside    int64 `json:"Outside"`   // before the start, after the FIN, out of the window
}

// Sum returns what Payload should be.
func (c ByteCounts) Sum() int64 {
	return c.Delivered + c.Repeated + c.Conflicts + c.Unverified + c.Untrusted + c.Outside
}
