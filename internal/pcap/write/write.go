// Package write writes what went over connections as a pcapng file that other tools open: handshakes, segments with right
// sequence numbers and checksums, closes, and the ids of requests as comments of packets. What is written is made from the
// bytes that were sent and got, not captured.
package write

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

const (
	segment = 1400 // bytes of a packet's payload
	snap    = 256 << 10
)

// Direction is a direction: 0 from whoever opened the connection, 1 to it.
type Direction int

// File is a file that is being written. It may be used from many goroutines. After an error it writes no more, and gives
// that error again and again: whose traffic it is goes on.
type File struct {
	mu    sync.Mutex
	w     *pcapgo.NgWriter
	most  int64
	wrote int64
	err   error
}

// ErrFull says that a file has the size that it may have.
var ErrFull = errors.New("the capture has its full size")

// New begins a file with an interface for each of the sides; most bounds the bytes of packets in it, 0 does not.
func New(to io.Writer, most int64, sides ...string) (*File, error) {
	var w *pcapgo.NgWriter
	for i, name := range sides {
		side := pcapgo.NgInterface{Name: name, LinkType: layers.LinkTypeRaw, SnapLength: snap, TimestampResolution: 9}
		var err error
		if i == 0 {
			w, err = pcapgo.NewNgWriterInterface(to, side, pcapgo.NgWriterOptions{SectionInfo: pcapgo.NgSectionInfo{Application: "fernlanding"}})
		} else {
			_, err = w.AddInterface(side)
		}
		if err != nil {
			return nil, fmt.Errorf("begin the capture: %w", err)
		}
	}
	return &File{w: w, most: most}, nil
}

// Flush writes what is buffered, and returns the first error that the file had.
func (f *File) Flush() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.w.Flush(); f.err == nil && err != nil {
		f.err = fmt.Errorf("write the capture: %w", err)
	}
	return f.err
}

// packet writes one packet.
func (f *File) packet(side int, p synth.Packet, comment string) {
	if f.err != nil {
		return
	}
	if f.wrote += int64(len(p.Data)); f.most > 0 && f.wrote > f.most {
		f.err = ErrFull
		return
	}
	var opts pcapgo.NgPacketOptions
	if comment != "" {
		opts.Comments = []string{comment}
	}
	if err := f.w.WritePacketWithOptions(gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength, InterfaceIndex: side}, p.Data, opts); err != nil {
		f.err = fmt.Errorf("write the capture: %w", err)
	}
}

// Conn is one connection in a file. It may be used from many goroutines.
type Conn struct {
	file *File
	side int
	made *synth.Conn
	shut bool
}

// Open writes a connection's handshake, as it was at the time.
func (f *File) Open(side int, opener, other netip.AddrPort, at time.Time) *Conn {
	c := &Conn{file: f, side: side, made: synth.NewConn(opener, other, synth.RawIP, [2]uint32{1, 1})}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.made.Open()
	c.flush(at, "")
	return c
}

// Data writes bytes that went in a direction, the first packet of them with a comment if one is given.
func (c *Conn) Data(d Direction, data []byte, at time.Time, comment string) {
	c.file.mu.Lock()
	defer c.file.mu.Unlock()
	if c.shut {
		return
	}
	c.made.Send(int(d), data, segment)
	c.flush(at, comment)
}

// Close writes the close of both sides, or a reset by the one that broke it off.
func (c *Conn) Close(reset bool, by Direction, at time.Time) {
	c.file.mu.Lock()
	defer c.file.mu.Unlock()
	if c.shut {
		return
	}
	if c.shut = true; reset {
		c.made.Reset(int(by))
	} else {
		c.made.Close()
	}
	c.flush(at, "")
}

// flush writes the parts that wait.
func (c *Conn) flush(at time.Time, comment string) {
	for _, p := range c.made.Parts {
		packets, err := c.made.Packets(p, at)
		if err != nil {
			if c.file.err == nil {
				c.file.err = fmt.Errorf("write the capture: %w", err)
			}
			break
		}
		for _, one := range packets {
			c.file.packet(c.side, one, comment)
			comment = ""
		}
	}
	c.made.Parts = c.made.Parts[:0]
}
