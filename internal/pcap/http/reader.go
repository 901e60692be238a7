package http

import (
	"cmp"
	"time"

	"fernlanding/internal/pcap/flow"
)

// Exchange is a request and its answer, as far as they were seen whole.
type Exchange struct {
	Flow    *flow.Flow
	Number  int      // of the request in its connection, from 0
	Request *Message // nil: none was seen for the answer
	Answer  *Message // nil: none was seen
}

// Account counts the bytes that flows handed on, by what they belong to. Bytes is the sum of the others.
type Account struct {
	Bytes   int64
	Request int64
	Answer  int64
	Faulty  int64
}

// Sum is what Bytes should be.
func (a Account) Sum() int64 { return a.Request + a.Answer + a.Faulty }

// Sink takes what a Reader finds.
type Sink interface {
	// Exchange takes a request with its answer, in the order of the answers; what lacks its other comes at the end
	// of its flow. The bodies are the sink's to drop.
	Exchange(*Exchange)
	// Stream takes what is wrong with a direction's bytes, or with a pair.
	Stream(f *flow.Flow, dir flow.Direction, fault Fault)
	// Segments takes what is wrong with a flow's segments.
	Segments(flow.Fault)
	// Done takes the end of a flow.
	Done(f *flow.Flow, why flow.EndReason)
}

// Reader reads HTTP/1.1 from flows. It is a flow.Sink.
type Reader struct {
	limits  Limits
	bodies  Store
	sink    Sink
	account Account
}

// NewReader returns a Reader that tells sink. Without a Store, all bodies stay in memory.
func NewReader(limits Limits, bodies Store, sink Sink) *Reader {
	limits.Head = cmp.Or(limits.Head, defaultHead)
	limits.Memory = cmp.Or(limits.Memory, defaultMemory)
	limits.Body = cmp.Or(limits.Body, defaultBody)
	limits.Unpaired = cmp.Or(limits.Unpaired, defaultUnpaired)
	return &Reader{limits: limits, bodies: bodies, sink: sink}
}

// Account is what became of all bytes of the flows that have ended.
func (r *Reader) Account() Account { return r.account }

// conn is one flow as HTTP.
type conn struct {
	r       *Reader
	flow    *flow.Flow
	halves  [2]half
	asked   int         // requests so far
	waiting []*Exchange // requests, for their answers
	ahead   []*Message  // answers whose requests have not come out yet: begun late, or captured out of order
	early   []*Message
}

// Opened implements flow.Sink.
func (r *Reader) Opened(f *flow.Flow) {
	c := &conn{r: r, flow: f}
	for d := range c.halves {
		h := &c.halves[d]
		h.limits, h.bodies, h.method, h.message = &r.limits, r.bodies, c.method, c.message
		h.report = func(fault Fault) {
			r.account.Faulty += fault.Bytes
			r.sink.Stream(f, flow.Direction(d), fault)
		}
	}
	f.Data = c
}

// Data implements flow.Sink.
func (r *Reader) Data(f *flow.Flow, dir flow.Direction, _ int64, data []byte, packet int64, t time.Time) {
	r.account.Bytes += int64(len(data))
	c := f.Data.(*conn)
	h, other := &c.halves[dir], &c.halves[1-dir]
	if !h.known && other.known {
		h.known, h.request = true, !other.request
	}
	h.take(data, packet, t)
}

// Broken implements flow.Sink.
func (r *Reader) Broken(f *flow.Flow, dir flow.Direction, _ int64, why string) {
	f.Data.(*conn).halves[dir].end(false, why)
}

// Finished implements flow.Sink.
func (r *Reader) Finished(f *flow.Flow, dir flow.Direction) {
	f.Data.(*conn).halves[dir].end(true, "its sender closed")
}

// Fault implements flow.Sink.
func (r *Reader) Fault(fault flow.Fault) { r.sink.Segments(fault) }

// Ended implements flow.Sink.
func (r *Reader) Ended(f *flow.Flow, why flow.EndReason) {
	c := f.Data.(*conn)
	for _, e := range c.waiting {
		c.pair(Unanswered, "a request whose answer was not seen", e.Request)
		r.sink.Exchange(e)
	}
	for _, m := range c.ahead {
		c.unasked(m)
	}
	for _, m := range c.early {
		c.pair(Unasked, "an early answer that none followed", m)
	}
	f.Data = nil
	r.sink.Done(f, why)
}

// method is that of the request that the next answer is for; empty if that has not come out.
func (c *conn) method() string {
	if len(c.waiting) == 0 {
		return ""
	}
	return c.waiting[0].Request.Method
}

// message takes a whole message.
func (c *conn) message(m *Message) {
	size := m.End - m.At
	if m.Request {
		c.r.account.Request += size
		e := &Exchange{Flow: c.flow, Number: c.asked, Request: m}
		c.asked++
		if len(c.ahead) > 0 {
			e.Answer, c.ahead = c.ahead[0], c.ahead[1:]
			c.r.sink.Exchange(e)
			c.tunnel(e)
			return
		}
		if c.waiting = append(c.waiting, e); len(c.waiting) > c.r.limits.Unpaired {
			first := c.waiting[0]
			c.waiting = c.waiting[1:]
			c.pair(Unanswered, "too many requests wait for an answer", first.Request)
			c.r.sink.Exchange(first)
		}
		return
	}
	c.r.account.Answer += size
	if m.Code/100 == 1 && m.Code != 101 {
		c.early = append(c.early, m)
		if len(c.early) > mostEarly {
			c.pair(Unasked, "early answers without end", c.early[0])
			c.early = c.early[1:]
		}
		return
	}
	m.Early, c.early = c.early, nil
	if len(c.waiting) == 0 {
		if c.ahead = append(c.ahead, m); len(c.ahead) > mostAhead {
			c.unasked(c.ahead[0])
			c.ahead = c.ahead[1:]
		}
		return
	}
	e := c.waiting[0]
	c.waiting = c.waiting[1:]
	e.Answer = m
	c.r.sink.Exchange(e)
	c.tunnel(e)
}

// tunnel has what follows a CONNECT or an upgrade belong to no message.
func (c *conn) tunnel(e *Exchange) {
	if e.Answer.Code == 101 || e.Request.Method == "CONNECT" && e.Answer.Code/100 == 2 {
		for d := range c.halves {
			c.halves[d].divert(Tunnel, "what follows a CONNECT or an upgrade")
		}
	}
}

// unasked gives out an answer that no request was seen for.
func (c *conn) unasked(m *Message) {
	c.pair(Unasked, "an answer that no request was seen for", m)
	c.r.sink.Exchange(&Exchange{Flow: c.flow, Number: -1, Answer: m})
}

const (
	mostEarly = 64 // 1xx answers ahead of one
	mostAhead = 64 // answers ahead of their requests
)

// pair reports a message that lacks its other.
func (c *conn) pair(kind Kind, why string, m *Message) {
	dir := flow.Direction(0)
	if c.halves[1].known && c.halves[1].request == m.Request {
		dir = 1
	}
	c.r.sink.Stream(c.flow, dir, Fault{Kind: kind, Why: why, At: m.At, Packet: m.FirstPacket})
}
