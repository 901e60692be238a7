// Package capture reads and writes capture files: pcap in both byte orders with micro- and nanoseconds, and pcapng with
// several sections and interfaces, plain or compressed with gzip. Files only; nothing is ever captured live.
package capture

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

// MaxPacketBytes is the longest packet that is read, in bytes: what the tools of the field take at most.
const MaxPacketBytes = 256 << 10

const buffer = 256 << 10

// Packet is one packet of a file.
type Packet struct {
	Number     int64 // from 1
	Time       time.Time
	Link       layers.LinkType
	Interface  int // of a pcapng section
	Data       []byte
	WireLength int // bytes that it had on the wire
}

// ReadError says that a file cannot be read on.
type ReadError struct {
	Packet int64 // the number that the next packet would have had
	Offset int64 // bytes read of the file, before decompression
	Err    error
}

// Error implements error.
func (f *ReadError) Error() string {
	return fmt.Sprintf("packet %d, at byte %d of the file: %v", f.Packet, f.Offset, f.Err)
}

// Unwrap returns the cause.
func (f *ReadError) Unwrap() error { return f.Err }

// ErrTruncated is the cause of a Fault where the file ends within a packet.
var ErrTruncated = errors.New("the file ends within a packet")

// counter counts what is read.
type counter struct {
	r io.Reader
	n int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// source is a reader of one of the two formats.
type source interface {
	ZeroCopyReadPacketData() ([]byte, gopacket.CaptureInfo, error)
}

// Reader reads a capture.
type Reader struct {
	format string
	in     *counter
	file   source
	link   layers.LinkType // of a pcap file
	number int64
	err    error
}

var (
	magicGzip = []byte{0x1f, 0x8b}
	magicNg   = []byte{0x0a, 0x0d, 0x0d, 0x0a}
)

// Open begins to read a capture. A file that is none is an error that says what was found.
func Open(r io.Reader) (*Reader, error) {
	c := &Reader{in: &counter{r: r}, format: "pcap"}
	b := bufio.NewReaderSize(c.in, buffer)
	if head, _ := b.Peek(2); bytes.Equal(head, magicGzip) {
		z, err := gzip.NewReader(b)
		if err != nil {
			return nil, fmt.Errorf("capture: gzip: %w", err)
		}
		b = bufio.NewReaderSize(z, buffer)
		c.format = "pcap, gzip"
	}
	head, err := b.Peek(4)
	if err != nil {
		return nil, fmt.Errorf("capture: found %d bytes, expected a pcap or pcapng file", len(head))
	}
	if bytes.Equal(head, magicNg) {
		c.format = "pcapng" + c.format[4:]
		ng, err := pcapgo.NewNgReader(b, pcapgo.NgReaderOptions{WantMixedLinkType: true, SkipUnknownVersion: true})
		if err != nil {
			return nil, fmt.Errorf("capture: pcapng: %w", err)
		}
		c.file = ng
		return c, nil
	}
	p, err := pcapgo.NewReader(b)
	if err != nil {
		return nil, fmt.Errorf("capture: found % x, expected a pcap or pcapng file: %w", head, err)
	}
	c.file, c.link = p, p.LinkType()
	return c, nil
}

// Format names the file's format.
func (c *Reader) Format() string { return c.format }

// Next returns the next packet, whose data is good until the call after. The end of the file is io.EOF; a file that
// cannot be read on is a *Fault, after which every call gives the same.
func (c *Reader) Next() (Packet, error) {
	if c.err != nil {
		return Packet{}, c.err
	}
	data, info, err := c.file.ZeroCopyReadPacketData()
	if err == nil && len(data) > MaxPacketBytes {
		err = fmt.Errorf("found a packet of %d bytes, expected at most %d", len(data), MaxPacketBytes)
	}
	if err != nil {
		if c.err = io.EOF; !errors.Is(err, io.EOF) {
			if errors.Is(err, io.ErrUnexpectedEOF) {
				err = ErrTruncated
			}
			c.err = &ReadError{c.number + 1, c.in.n, err}
		}
		return Packet{}, c.err
	}
	c.number++
	p := Packet{Number: c.number, Time: info.Timestamp, Link: c.link, Interface: info.InterfaceIndex, Data: data, WireLength: info.Length}
	if len(info.AncillaryData) > 0 {
		if link, ok := info.AncillaryData[0].(layers.LinkType); ok {
			p.Link = link
		}
	}
	return p, nil
}
