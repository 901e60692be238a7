// Package capture reads capture files: pcap in both byte orders with timestamps in microseconds or
// nanoseconds, and pcapng with several sections and interfaces, uncompressed or compressed with
// gzip. It does not capture live traffic.
package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxPacketBytes is the maximum size of a packet: the limit that common capture tools have.
const MaxPacketBytes = 256 << 10

// Packet is one packet of a capture file.
type Packet struct {
	Number     int64 // position in the file, from 1
	Time       time.Time
	Link       layers.LinkType
	Interface  int    // index within the pcapng section
	Data       []byte // valid until the next call of Reader.Next
	WireLength int    // bytes on the wire, before the snap length truncated the packet
}

// ReadError reports a capture file that cannot be read to its end.
type ReadError struct {
	Packet int64 // number of the packet that could not be read, from 1
	Offset int64 // bytes of the file that had been read, before decompression
	Err    error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("packet %d, at byte %d of the file: %v", e.Packet, e.Offset, e.Err)
}

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Err }

// ErrTruncated is wrapped by the ReadError of a file that ends within a packet.
var ErrTruncated = errors.New("file ends within a packet")

// packetSource reads packets of one of the two file formats.
type packetSource interface {
	ZeroCopyReadPacketData() ([]byte, gopacket.CaptureInfo, error)
}

// Reader reads the packets of a capture file. A Reader is not safe for concurrent use.
type Reader struct {
	format  string
	input   *countingReader
	packets packetSource
	link    layers.LinkType // link type of a pcap file
	number  int64           // number of the last packet
	err     error           // result of the first failed call of Next
}

// Format returns the name of the file's format, with its compression.
func (r *Reader) Format() string { return r.format }

// Next returns the next packet, whose data is valid until the next call. The error is io.EOF at the
// end of the file, and a *ReadError if the file cannot be read any further. After an error, every
// call returns the same error.
func (r *Reader) Next() (Packet, error) {
	if r.err != nil {
		return Packet{}, r.err
	}
	data, info, err := r.packets.ZeroCopyReadPacketData()
	if err == nil && len(data) > MaxPacketBytes {
		err = fmt.Errorf("packet of %d bytes exceeds the limit of %d", len(data), MaxPacketBytes)
	}
	if err != nil {
		r.err = r.readError(err)
		return Packet{}, r.err
	}
	r.number++
	packet := Packet{
		Number:     r.number,
		Time:       info.Timestamp,
		Link:       r.link,
		Interface:  info.InterfaceIndex,
		Data:       data,
		WireLength: info.Length,
	}
	if len(info.AncillaryData) > 0 { // the pcapng reader stores the interface's link type here
		if link, ok := info.AncillaryData[0].(layers.LinkType); ok {
			packet.Link = link
		}
	}
	return packet, nil
}

// readError converts an error of the packet source to the error that Next returns.
func (r *Reader) readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrTruncated
	}
	return &ReadError{Packet: r.number + 1, Offset: r.input.count, Err: err}
}
