package write

import (
	"fmt"
	"time"

	"fernlanding/internal/pcap/synth"
)

const maxSegment = 1400 // bytes of a packet's payload

// Direction is a direction of a connection: 0 from its opener, 1 to it.
type Direction int

// Conn is one connection in a file. It is safe for concurrent use.
type Conn struct {
	file           *File // whose lock guards the rest
	interfaceIndex int
	synthetic      *synth.Conn
	closed         bool
}

// Data writes bytes that went in a direction. The first packet has the comment, unless that is
// empty. Nothing is written after Close.
func (c *Conn) Data(dir Direction, data []byte, at time.Time, comment string) {
	c.file.mu.Lock()
	defer c.file.mu.Unlock()
	if c.closed {
		return
	}
	c.synthetic.Send(int(dir), data, maxSegment)
	c.writeParts(at, comment)
}

// Close writes the FINs of both ends, or the RST of one of them. A second Close writes nothing.
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

// writeParts writes the segments that have been added. The file's lock is held.
func (c *Conn) writeParts(at time.Time, comment string) {
	for _, part := range c.synthetic.Parts {
		packets, err := c.synthetic.Packets(part, at)
		if err != nil {
			c.file.fail(fmt.Errorf("write the capture: %w", err))
			break
		}
		for _, packet := range packets {
			c.file.writePacket(c.interfaceIndex, packet, comment)
			comment = ""
		}
	}
	c.synthetic.Parts = c.synthetic.Parts[:0]
}
