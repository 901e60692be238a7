package write

import (
	"fmt"
	"time"

	"fernlanding/internal/pcap/synth"
)

const maxSegment = 1400 // payload bytes of a packet

// Direction is a direction of a connection: 0 from its opener, 1 to its opener.
type Direction int

// Conn is one connection of a File. A Conn is safe for concurrent use.
type Conn struct {
	file           *File // its lock guards the other fields
	interfaceIndex int
	synthetic      *synth.Conn
	closed         bool
}

// Data writes bytes that were sent in a direction. The comment, unless it is empty, is attached to
// the first packet. After Close, Data writes nothing.
func (c *Conn) Data(dir Direction, data []byte, at time.Time, comment string) {
	c.file.mu.Lock()
	defer c.file.mu.Unlock()
	if c.closed {
		return
	}
	c.synthetic.Send(int(dir), data, maxSegment)
	c.writeParts(at, comment)
}

// Close writes the FINs of both endpoints, or a RST in the direction by. A second Close writes
// nothing.
func (c *Conn) Close(reset bool, by Direction, at time.Time) {
	c.file.mu.Lock()
	defer c.file.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if reset {
		c.synthetic.Reset(int(by))
	} else {
		c.synthetic.Close()
	}
	c.writeParts(at, "")
}

// writeParts writes the segments that were added to the connection. The caller holds the file's
// lock.
func (c *Conn) writeParts(at time.Time, comment string) {
	for _, part := range c.synthetic.Parts {
		packets, err := c.synthetic.Packets(part, at)
		if err != nil {
			c.file.fail(fmt.Errorf("write capture: %w", err))
			break
		}
		for _, packet := range packets {
			c.file.writePacket(c.interfaceIndex, packet, comment)
			comment = ""
		}
	}
	c.synthetic.Parts = c.synthetic.Parts[:0]
}
