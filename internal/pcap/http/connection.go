package http

import (
	"net/http"

	"fernlanding/internal/pcap/flow"
)

// connection pairs the requests of one flow with their responses.
type connection struct {
	reader       *Reader
	flow         *flow.Flow
	halves       [2]halfStream
	requestCount int         // number of requests so far
	waiting      []*Exchange // requests that have no response yet
	ahead        []*Message  // responses whose requests are not parsed yet: late capture start or reordering
	interim      []*Message  // 1xx responses before the next response
}

// newConnection returns the connection of a flow.
func newConnection(r *Reader, f *flow.Flow) *connection {
	c := &connection{reader: r, flow: f}
	for dir := range c.halves {
		c.halves[dir].conn = c
		c.halves[dir].direction = flow.Direction(dir)
	}
	return c
}

// limits returns the reader's limits.
func (c *connection) limits() *Limits { return &c.reader.limits }

// deriveRole sets the role of a direction, if unknown, from the role of the opposite direction.
func (c *connection) deriveRole(dir flow.Direction) {
	half := &c.halves[dir]
	if half.role != unknownRole {
		return
	}
	switch c.halves[1-dir].role {
	case requests:
		half.role = responses
	case responses:
		half.role = requests
	case unknownRole:
	}
}

// requestMethod returns the method of the request that the next response belongs to, or an empty
// string if that request has not been parsed.
func (c *connection) requestMethod() string {
	if len(c.waiting) == 0 {
		return ""
	}
	return c.waiting[0].Request.Method
}

// addMessage counts a complete message and pairs it with its counterpart.
func (c *connection) addMessage(m *Message) {
	size := m.EndOffset - m.Offset
	if m.IsRequest {
		c.reader.counts.Request += size
		c.addRequest(m)
		return
	}
	c.reader.counts.Response += size
	if m.StatusCode/100 == 1 && m.StatusCode != http.StatusSwitchingProtocols {
		c.addInterim(m)
		return
	}
	c.addResponse(m)
}

// addRequest pairs a request with the first unpaired response, or adds it to the waiting requests.
func (c *connection) addRequest(m *Message) {
	exchange := &Exchange{Flow: c.flow, Number: c.requestCount, Request: m}
	c.requestCount++
	if len(c.ahead) > 0 {
		exchange.Response, c.ahead = c.ahead[0], c.ahead[1:]
		c.complete(exchange)
		return
	}
	c.waiting = append(c.waiting, exchange)
	if len(c.waiting) > c.limits().Unpaired {
		first := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.reportMessage(UnmatchedRequest, "too many requests without a response", first.Request)
		c.reader.sink.Exchange(first)
	}
}

// addInterim stores a 1xx response until its final response arrives.
func (c *connection) addInterim(m *Message) {
	c.interim = append(c.interim, m)
	if len(c.interim) > maxInterim {
		c.reportMessage(UnmatchedResponse, "too many interim responses", c.interim[0])
		c.interim = c.interim[1:]
	}
}

// addResponse pairs a final response with the first waiting request.
func (c *connection) addResponse(m *Message) {
	m.Interim, c.interim = c.interim, nil
	if len(c.waiting) == 0 {
		c.ahead = append(c.ahead, m)
		if len(c.ahead) > maxAhead {
			c.reportUnmatchedResponse(c.ahead[0])
			c.ahead = c.ahead[1:]
		}
		return
	}
	exchange := c.waiting[0]
	c.waiting = c.waiting[1:]
	exchange.Response = m
	c.complete(exchange)
}

// complete reports an exchange. Bytes after a CONNECT or an upgrade do not belong to any message.
func (c *connection) complete(exchange *Exchange) {
	c.reader.sink.Exchange(exchange)
	statusCode := exchange.Response.StatusCode
	isTunnel := statusCode == http.StatusSwitchingProtocols ||
		exchange.Request.Method == http.MethodConnect && statusCode/100 == 2
	if !isTunnel {
		return
	}
	for dir := range c.halves {
		c.halves[dir].failRest(Tunnel, "data after a CONNECT or an upgrade")
	}
}

// reportUnmatched reports the messages that have no counterpart at the end of the flow.
func (c *connection) reportUnmatched() {
	for _, exchange := range c.waiting {
		c.reportMessage(UnmatchedRequest, "no response was captured for the request", exchange.Request)
		c.reader.sink.Exchange(exchange)
	}
	for _, m := range c.ahead {
		c.reportUnmatchedResponse(m)
	}
	for _, m := range c.interim {
		c.reportMessage(UnmatchedResponse, "no final response follows the interim response", m)
	}
}

// reportUnmatchedResponse reports a response whose request was not captured.
func (c *connection) reportUnmatchedResponse(m *Message) {
	c.reportMessage(UnmatchedResponse, "no request was captured for the response", m)
	c.reader.sink.Exchange(&Exchange{Flow: c.flow, Number: -1, Response: m})
}

// reportMessage reports a message that has no counterpart.
func (c *connection) reportMessage(kind FaultKind, reason string, m *Message) {
	role := responses
	if m.IsRequest {
		role = requests
	}
	dir := flow.Direction(0)
	if c.halves[1].role == role {
		dir = 1
	}
	c.reader.sink.StreamFault(c.flow, dir, Fault{Kind: kind, Reason: reason, Offset: m.Offset, Packet: m.FirstPacket})
}

// reportFault reports a range of a direction's stream that belongs to no message.
func (c *connection) reportFault(dir flow.Direction, fault Fault) {
	c.reader.counts.Faulty += fault.Bytes
	c.reader.sink.StreamFault(c.flow, dir, fault)
}
