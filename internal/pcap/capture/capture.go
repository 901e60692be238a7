// Package capture reads capture files: pcap in both byte orders with microseconds and nanoseconds,
// and pcapng with several sections and interfaces, plain or compressed with gzip. It reads files
// only; nothing is captured live.
package capture

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxPacketBytes is the longest packet that is read: the limit of the common capture tools.
const MaxPacketBytes = 256 << 10

// Packet is one packet of a file.
type Packet struct {
	Number     int64 // from 1
	Time       time.Time
	Link       layers.LinkType
	Interface  int    // of a pcapng section
	Data       []byte // valid until the next call of Reader.Next
	WireLength int    // bytes, before the snap length cut the packet
}

// ReadError is the error of a file that cannot be read further.
type ReadError struct {
	Packet int64 // the number that the next packet would have had
	Offset int64 // bytes read of the file, before decompression
	Err    error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("packet %d, at byte %d of the file: %v", e.Packet, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// ErrTruncated is the cause of a ReadError where the file ends within a packet.
var ErrTruncated = errors.New("the file ends within a packet")

// packetSource reads the packets of one of the two formats.
type packetSource interface {
	ZeroCopyReadPacketData() ([]byte, gopacket.CaptureInfo, error)
}

// Reader reads the packets of a capture. It is not safe for concurrent use.
type Reader struct {
	format  string
	input   *countingReader
	packets packetSource
	link    layers.LinkType // of a pcap file
	number  int64           // of the last packet
	err     error           // of the first call of Next that failed
}

// Format returns the name of the file's format.
func (r *Reader) Format() string { return r.format }

// Next returns the next packet, whose data is valid until the next call. The error is io.EOF at the
// end of the file, and a *ReadError where the file cannot be read further; every later call returns
// the same error.
func (r *Reader) Next() (Packet, error) {
	if r.err != nil {
		return Packet{}, r.err
	}
	data, info, err := r.packets.ZeroCopyReadPacketData()
	if err == nil && len(data) > MaxPacketBytes {
		err = fmt.Errorf("found a packet of %d bytes, expected at most %d", len(data), MaxPacketBytes)
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
	if len(info.AncillaryData) > 0 { // a pcapng reader puts the interface's link type there
		if link, ok := info.AncillaryData[0].(layers.LinkType); ok {
			packet.Link = link
		}
	}
	return packet, nil
}

// readError returns the error of Next for an error of the packet source.
func (r *Reader) readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrTruncated
	}
	return &ReadError{Packet: r.number + 1, Offset: r.input.count, Err: err}
}
