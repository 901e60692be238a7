// Package write writes the data of connections as a pcapng file for common tools. The file contains
// handshakes, segments with valid sequence numbers and checksums, connection closes, and request
// IDs as packet comments. The packets are synthesized from the bytes that were sent and received;
// they are not captured.
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

const snapLength = 256 << 10 // bytes

// ErrFull is the error of a File that has reached its size limit.
var ErrFull = errors.New("capture has reached its size limit")

// File is a pcapng file that is being written. A File is safe for concurrent use. After the first
// error nothing more is written, and Flush returns that error. The connections are not interrupted.
type File struct {
	mu       sync.Mutex
	writer   *pcapgo.NgWriter
	maxBytes int64 // limit of written; 0 means no limit
	written  int64 // bytes of the packets, without file format overhead
	err      error // first error
}

// New begins a file with the named interfaces, at least one. At most maxBytes of packets are
// written; 0 means no limit.
func New(to io.Writer, maxBytes int64, interfaces ...string) (*File, error) {
	f := &File{maxBytes: maxBytes}
	for _, name := range interfaces {
		if err := f.addInterface(to, name); err != nil {
			return nil, fmt.Errorf("begin capture: %w", err)
		}
	}
	return f, nil
}

// addInterface adds an interface to the file. The first interface begins the file.
func (f *File) addInterface(to io.Writer, name string) error {
	description := pcapgo.NgInterface{
		Name: name, LinkType: layers.LinkTypeRaw, SnapLength: snapLength, TimestampResolution: 9,
	}
	if f.writer != nil {
		_, err := f.writer.AddInterface(description)
		return err
	}
	options := pcapgo.NgWriterOptions{SectionInfo: pcapgo.NgSectionInfo{Application: "fernlanding"}}
	writer, err := pcapgo.NewNgWriterInterface(to, description, options)
	f.writer = writer
	return err
}

// Flush writes the buffered bytes, and returns the first error of the file.
func (f *File) Flush() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.writer.Flush(); err != nil {
		f.fail(fmt.Errorf("write capture: %w", err))
	}
	return f.err
}

// fail records an error, unless there is an earlier one.
func (f *File) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// Open writes the handshake of a connection, with packets at the given time, and returns the
// connection.
func (f *File) Open(interfaceIndex int, opener, other netip.AddrPort, at time.Time) *Conn {
	c := &Conn{
		file: f, interfaceIndex: interfaceIndex,
		synthetic: synth.NewConn(opener, other, synth.RawIP, [2]uint32{1, 1}),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.synthetic.Open()
	c.writeParts(at, "")
	return c
}

// writePacket writes one packet, with a comment unless it is empty. The caller holds the lock.
func (f *File) writePacket(interfaceIndex int, p synth.Packet, comment string) {
	if f.err != nil {
		return
	}
	f.written += int64(len(p.Data))
	if f.maxBytes > 0 && f.written > f.maxBytes {
		f.err = ErrFull
		return
	}
	var options pcapgo.NgPacketOptions
	if comment != "" {
		options.Comments = []string{comment}
	}
	info := gopacket.CaptureInfo{
		Timestamp:      p.Time,
		CaptureLength:  len(p.Data),
		Length:         p.WireLength,
		InterfaceIndex: interfaceIndex,
	}
	if err := f.writer.WritePacketWithOptions(info, p.Data, options); err != nil {
		f.err = fmt.Errorf("write capture: %w", err)
	}
}
