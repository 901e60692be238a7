// Package flow puts the segments of TCP connections back into the two byte streams that they carried (RFC 9293,
// sections 3.4 and 3.10.7). It does no I/O and reads no clock: segments come in as they stand in a capture, and all
// that is found goes to a Sink.
//
// Its policy, where a capture leaves room:
//   - The first bytes seen for a place of the stream stand. Others for the same place are compared with them, and
//     reported where they differ.
//   - What is missing ends the trust in a half from there on, and not before: what lies beyond is counted and named,
//     and never handed on, since nobody knows what the missing bytes made of it.
//   - Every byte of every payload is counted once, as one of the kinds of Account.
package flow

import (
	"bytes"
	"cmp"
	"container/list"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Limits bound what an Assembler holds. Zero values stand for the defaults.
type Limits struct {
	Flows   int // open at a time; the one that has been idle longest gives way (default 65,536)
	Pending int // bytes of one half that wait for earlier ones (default 1 MiB)
	Held    int // bytes of all halves that wait (default 64 MiB)
	Tail    int // bytes of a half, already handed on, kept to compare repeats with (default 4 KiB)
}

const (
	defaultFlows   = 1 << 16
	defaultPending = 1 << 20
	defaultHeld    = 64 << 20
	defaultTail    = 4 << 10
	mostChunks     = 1024    // pieces of one half that wait
	farAway        = 1 << 30 // bytes; a segment further off than any window (RFC 7323, section 2.3) is none of this flow
)

// Segment is one TCP segment as a capture has it.
type Segment struct {
	Packet   int64 // its number in the capture, from 1
	Time     time.Time
	Src, Dst netip.AddrPort
	Seq      uint32
	SYN, FIN bool
	RST      bool
	Payload  []byte // good until Add returns
	Cut      int    // bytes of the payload that the capture lacks behind these (its snap length)
}

// Dir is a direction of a flow: 0 from its opener, as far as that is known, 1 to it.
type Dir int

// Flow is one connection, from its first segment to its end.
type Flow struct {
	ID     int64             // from 1, in the order of first segments
	Ends   [2]netip.AddrPort // the opener's, and the other's
	Opened bool              // its SYN was seen; otherwise the first segment's sender counts as the opener
	First  int64             // packet
	Last   int64
	Began  time.Time
	Ended  time.Time // of its last packet
	Data   any       // the sink's own

	halves [2]half
	where  *list.Element
}

// String is the flow's name in reports.
func (f *Flow) String() string { return fmt.Sprintf("flow %d %v>%v", f.ID, f.Ends[0], f.Ends[1]) }

// End says why a flow ended.
type End string

// The ends of a flow.
const (
	Closed  End = "closed"             // both halves by FIN
	Reset   End = "reset"              // by RST
	Reused  End = "ports reused"       // a new connection began between the same ends
	GaveWay End = "gave way"           // more flows were open than may be
	FileEnd End = "end of the capture" // still open there
)

// Kind names a fault.
type Kind string

// The faults of a half.
const (
	Gap       Kind = "gap"         // bytes are missing, or more wait behind them than may
	Differing Kind = "differing"   // other bytes for a place that has been seen
	SnapCut   Kind = "snap-cut"    // the capture cut a segment short
	Early     Kind = "early"       // bytes before the first that was seen of this half
	Stray     Kind = "stray"       // a sequence number that fits no window
	Late      Kind = "after-close" // bytes beyond the half's FIN
	Unheld    Kind = "unheld"      // a repeat of bytes that are no longer held: not compared
)

// Fault is something wrong with a half.
type Fault struct {
	Kind   Kind
	Flow   *Flow
	Dir    Dir
	At     int64 // place in the stream, from 0 at the first byte seen
	Bytes  int64 // concerned
	Packet int64
}

// String is the fault's line in a report.
func (f Fault) String() string {
	return fmt.Sprintf("%v dir %d at %d: %s: %d bytes, packet %d", f.Flow, f.Dir, f.At, f.Kind, f.Bytes, f.Packet)
}

// Account counts payload bytes by what became of them. Payload is the sum of the others.
type Account struct {
	Payload   int64
	Delivered int64 // handed on, in order
	Repeated  int64 // equal to what was there, or a keep-alive's byte (RFC 9293, section 3.8.4)
	Differing int64 // not equal to what was there
	Unheld    int64 // repeats that could not be compared
	Untrusted int64 // beyond a gap
	Outside   int64 // before the beginning, after the close, strays
}

// Sum is what Payload should be.
func (a Account) Sum() int64 {
	return a.Delivered + a.Repeated + a.Differing + a.Unheld + a.Untrusted + a.Outside
}

// Sink takes what an Assembler finds. Its methods are called from inside Add and Close.
type Sink interface {
	// Open takes a new flow.
	Open(*Flow)
	// Bytes takes the next bytes of a half, which begin at place at; they are good until it returns.
	Bytes(f *Flow, dir Dir, at int64, data []byte, packet int64, t time.Time)
	// Broken takes the news that a half ends here without its FIN: a gap, or the flow's end.
	Broken(f *Flow, dir Dir, at int64, why string)
	// Finished takes the news that a half has ended by its FIN, with all of its bytes handed on.
	Finished(f *Flow, dir Dir)
	// Fault takes a fault.
	Fault(Fault)
	// End takes the end of a flow, after which nothing follows.
	End(f *Flow, why End)
}

// chunk waits for what comes before it.
type chunk struct {
	at     int64
	data   []byte
	packet int64
	time   time.Time
}

// half is one direction of a flow.
type half struct {
	seen   bool
	syn    uint32 // with its SYN's number, if opened
	opened bool
	next   uint32 // sequence number at place
	place  int64  // bytes handed on, or passed
	wait   []chunk
	held   int
	tail   []byte // the last bytes handed on
	fin    int64  // place of the FIN, if finned
	finned bool
	done   bool // Finished or Broken has been told
	lost   bool // nothing beyond place is trusted
}

type key struct{ a, b netip.AddrPort }

func keyOf(x, y netip.AddrPort) key {
	if x.Compare(y) > 0 {
		x, y = y, x
	}
	return key{x, y}
}

// Assembler sorts segments into flows. It is not safe for concurrent use.
type Assembler struct {
	limits  Limits
	sink    Sink
	flows   map[key]*Flow
	idle    *list.List // of *Flow, the longest idle first
	count   int64
	held    int
	account Account
}

// New returns an Assembler that tells sink.
func New(limits Limits, sink Sink) *Assembler {
	limits.Flows = cmp.Or(limits.Flows, defaultFlows)
	limits.Pending = cmp.Or(limits.Pending, defaultPending)
	limits.Held = cmp.Or(limits.Held, defaultHeld)
	limits.Tail = cmp.Or(limits.Tail, defaultTail)
	return &Assembler{limits: limits, sink: sink, flows: map[key]*Flow{}, idle: list.New()}
}

// Account is what became of all payload so far; what waits is in none of its kinds until Close.
func (a *Assembler) Account() Account { return a.account }

// Open is how many flows are open.
func (a *Assembler) Open() int { return len(a.flows) }

// Add takes the next segment of the capture.
func (a *Assembler) Add(s *Segment) {
	k := keyOf(s.Src, s.Dst)
	f := a.flows[k]
	if f != nil && s.SYN {
		// Another SYN than the one that was seen begins a new connection, whatever became of the old one.
		if h := &f.halves[f.dir(s)]; h.seen && (!h.opened || h.syn != s.Seq) {
			a.end(f, Reused)
			f = nil
		}
	}
	if f == nil {
		if len(s.Payload) == 0 && !s.SYN && s.Cut == 0 {
			return // the last words of a flow that has ended, or an ACK from before the capture
		}
		f = a.open(k, s)
	}
	f.Last, f.Ended = s.Packet, s.Time
	a.idle.MoveToBack(f.where)
	d := f.dir(s)
	a.segment(f, d, s)
	if s.RST {
		a.end(f, Reset)
	} else if f.halves[0].done && f.halves[1].done && f.halves[0].finned && f.halves[1].finned {
		a.end(f, Closed)
	}
}

// dir is the direction that a segment goes in.
func (f *Flow) dir(s *Segment) Dir {
	if s.Src == f.Ends[0] {
		return 0
	}
	return 1
}

func (a *Assembler) open(k key, s *Segment) *Flow {
	if len(a.flows) >= a.limits.Flows {
		a.end(a.idle.Front().Value.(*Flow), GaveWay)
	}
	a.count++
	f := &Flow{ID: a.count, Ends: [2]netip.AddrPort{s.Src, s.Dst}, Opened: s.SYN, First: s.Packet, Began: s.Time}
	f.where = a.idle.PushBack(f)
	a.flows[k] = f
	a.sink.Open(f)
	return f
}

// segment places a segment's bytes.
func (a *Assembler) segment(f *Flow, d Dir, s *Segment) {
	h, seq := &f.halves[d], s.Seq
	if s.SYN {
		if !h.seen {
			h.seen, h.opened, h.syn, h.next = true, true, seq, seq+1
		}
		seq++ // a SYN takes one number (RFC 9293, section 3.4); data may follow it
	}
	if !h.seen {
		h.seen, h.next = true, seq
	}
	at := h.place + int64(int32(seq-h.next))
	n := int64(len(s.Payload))
	a.account.Payload += n
	switch {
	case n == 0:
	case h.done && h.finned && !h.lost && at >= h.fin:
		a.outside(f, d, Late, at, n, s.Packet)
	case at-h.place > farAway || h.place-at > farAway:
		a.outside(f, d, Stray, at, n, s.Packet)
	case h.lost && at+n > h.place:
		old := max(0, h.place-at)
		a.account.Untrusted += n - old
		a.repeat(f, d, at, s.Payload[:old], s.Packet)
	case n == 1 && at == h.place-1 && h.place > 0:
		a.account.Repeated++ // a keep-alive probe, whose byte means nothing
	case at < 0:
		a.before(f, d, h, at, s)
	default:
		a.place(f, d, h, at, s)
	}
	if s.Cut > 0 && !h.lost {
		a.sink.Fault(Fault{SnapCut, f, d, at + n, int64(s.Cut), s.Packet})
	}
	if s.FIN && !h.finned {
		if end := at + n + int64(s.Cut); end >= h.place && end-h.place <= farAway {
			h.finned, h.fin = true, end
		}
	}
	a.close(f, d, h)
}

// close tells that a half has ended by its FIN once all bytes before that are handed on.
func (a *Assembler) close(f *Flow, d Dir, h *half) {
	if h.finned && !h.done && !h.lost && h.place >= h.fin {
		h.done = true
		a.beyond(f, d, h, Late)
		a.sink.Finished(f, d)
	}
}

func (a *Assembler) outside(f *Flow, d Dir, kind Kind, at, n, packet int64) {
	a.account.Outside += n
	a.sink.Fault(Fault{kind, f, d, at, n, packet})
}

// before takes bytes that lie before the first place of a half.
func (a *Assembler) before(f *Flow, d Dir, h *half, at int64, s *Segment) {
	n := min(-at, int64(len(s.Payload)))
	a.outside(f, d, Early, at, n, s.Packet)
	if rest := s.Payload[n:]; len(rest) > 0 {
		t := *s
		t.Payload = rest
		a.place(f, d, h, 0, &t)
	}
}

// place hands on what is next, has wait what is early, and compares what is there already.
func (a *Assembler) place(f *Flow, d Dir, h *half, at int64, s *Segment) {
	data := s.Payload
	if old := min(h.place-at, int64(len(data))); old > 0 {
		a.repeat(f, d, at, data[:old], s.Packet)
		at, data = at+old, data[old:]
	}
	if len(data) == 0 {
		return
	}
	if at == h.place && len(h.wait) == 0 {
		a.deliver(f, d, h, data, s.Packet, s.Time)
		return
	}
	a.insert(f, d, h, chunk{at, data, s.Packet, s.Time})
	for len(h.wait) > 0 && h.wait[0].at == h.place {
		c := h.wait[0]
		h.wait = h.wait[1:]
		h.held -= len(c.data)
		a.held -= len(c.data)
		a.deliver(f, d, h, c.data, c.packet, c.time)
	}
	if len(h.wait) == 0 {
		h.wait = nil
	} else if h.held > a.limits.Pending || len(h.wait) > mostChunks || a.held > a.limits.Held {
		a.lose(f, d, h)
	}
}

// insert has a piece wait, without what is waiting already.
func (a *Assembler) insert(f *Flow, d Dir, h *half, c chunk) {
	i, _ := slices.BinarySearchFunc(h.wait, c.at, func(w chunk, at int64) int { return cmp.Compare(w.at, at) })
	if i > 0 && h.wait[i-1].at+int64(len(h.wait[i-1].data)) > c.at {
		i--
	}
	for len(c.data) > 0 {
		if i == len(h.wait) || h.wait[i].at >= c.at+int64(len(c.data)) {
			a.keep(h, i, c)
			return
		}
		w := h.wait[i]
		if c.at < w.at { // the part before the one that waits
			n := w.at - c.at
			a.keep(h, i, chunk{c.at, c.data[:n], c.packet, c.time})
			c.at, c.data = w.at, c.data[n:]
			i++
		}
		n := min(int64(len(c.data)), w.at+int64(len(w.data))-c.at)
		a.compare(f, d, c.at, w.data[c.at-w.at:][:n], c.data[:n], c.packet)
		c.at, c.data = c.at+n, c.data[n:]
		i++
	}
}

func (a *Assembler) keep(h *half, i int, c chunk) {
	c.data = bytes.Clone(c.data)
	h.wait = slices.Insert(h.wait, i, c)
	h.held += len(c.data)
	a.held += len(c.data)
}

// compare counts bytes for a place that has been seen.
func (a *Assembler) compare(f *Flow, d Dir, at int64, had, got []byte, packet int64) {
	if bytes.Equal(had, got) {
		a.account.Repeated += int64(len(got))
		return
	}
	n := int64(0)
	for i := range got {
		if had[i] != got[i] {
			n++
		}
	}
	a.account.Differing += n
	a.account.Repeated += int64(len(got)) - n
	a.sink.Fault(Fault{Differing, f, d, at, n, packet})
}

// repeat takes bytes from before place.
func (a *Assembler) repeat(f *Flow, d Dir, at int64, data []byte, packet int64) {
	h := &f.halves[d]
	from := h.place - int64(len(h.tail))
	if lost := min(from-at, int64(len(data))); lost > 0 {
		a.account.Unheld += lost
		a.sink.Fault(Fault{Unheld, f, d, at, lost, packet})
		at, data = at+lost, data[lost:]
	}
	if len(data) > 0 {
		a.compare(f, d, at, h.tail[at-from:][:len(data)], data, packet)
	}
}

func (a *Assembler) deliver(f *Flow, d Dir, h *half, data []byte, packet int64, t time.Time) {
	at, n := h.place, int64(len(data))
	if h.finned && at+n > h.fin {
		if extra := at + n - max(at, h.fin); extra > 0 {
			a.outside(f, d, Late, at+n-extra, extra, packet)
			n -= extra
			data = data[:n]
		}
	}
	h.place += n
	h.next += uint32(n)
	a.account.Delivered += n
	if len(data) >= a.limits.Tail {
		h.tail = append(h.tail[:0], data[len(data)-a.limits.Tail:]...)
	} else {
		if over := len(h.tail) + len(data) - a.limits.Tail; over > 0 {
			h.tail = h.tail[:copy(h.tail, h.tail[over:])]
		}
		h.tail = append(h.tail, data...)
	}
	if n > 0 {
		a.sink.Bytes(f, d, at, data, packet, t)
	}
}

// lose gives up waiting for what is missing.
func (a *Assembler) lose(f *Flow, d Dir, h *half) {
	first := h.wait[0]
	a.sink.Fault(Fault{Gap, f, d, h.place, first.at - h.place, first.packet})
	h.lost = true
	a.beyond(f, d, h, "")
	if !h.done {
		h.done = true
		a.sink.Broken(f, d, h.place, string(Gap))
	}
}

// beyond counts all that waits: as untrusted, or as outside with a fault of that kind.
func (a *Assembler) beyond(f *Flow, d Dir, h *half, kind Kind) {
	for _, c := range h.wait {
		n := int64(len(c.data))
		a.held -= len(c.data)
		if kind != "" {
			a.outside(f, d, kind, c.at, n, c.packet)
		} else {
			a.account.Untrusted += n
		}
	}
	h.wait, h.held = nil, 0
}

// end ends a flow. A half that waits for bytes has a gap.
func (a *Assembler) end(f *Flow, why End) {
	for d := range f.halves {
		h := &f.halves[d]
		if len(h.wait) > 0 {
			a.lose(f, Dir(d), h)
		}
		if h.seen && !h.done {
			h.done = true
			a.sink.Broken(f, Dir(d), h.place, string(why))
		}
	}
	a.idle.Remove(f.where)
	delete(a.flows, keyOf(f.Ends[0], f.Ends[1]))
	a.sink.End(f, why)
}

// Close ends all flows that are open, in the order in which they last spoke.
func (a *Assembler) Close() {
	for a.idle.Len() > 0 {
		a.end(a.idle.Front().Value.(*Flow), FileEnd)
	}
}
