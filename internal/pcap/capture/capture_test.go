package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
)

var packetTime = time.Date(2026, 12, 24, 20, 0, 0, 123456000, time.UTC)

// pcapFile returns a pcap file with one packet, encoded as the format's specification says, in the
// given byte order and timestamp resolution.
func pcapFile(order binary.AppendByteOrder, nanoseconds bool, data string) []byte {
	magic, fraction := uint32(0xa1b2c3d4), uint32(packetTime.Nanosecond()/1000)
	if nanoseconds {
		magic, fraction = 0xa1b23c4d, uint32(packetTime.Nanosecond())
	}
	b := order.AppendUint32(nil, magic)
	b = order.AppendUint16(b, 2)
	b = order.AppendUint16(b, 4)
	b = append(b, make([]byte, 8)...)
	b = order.AppendUint32(b, 65535)
	b = order.AppendUint32(b, uint32(layers.LinkTypeRaw))
	b = order.AppendUint32(b, uint32(packetTime.Unix()))
	b = order.AppendUint32(b, fraction)
	b = order.AppendUint32(b, uint32(len(data)))
	b = order.AppendUint32(b, uint32(len(data))+7)
	return append(b, data...)
}

func TestByteOrdersAndResolutions(t *testing.T) {
	for _, order := range []binary.AppendByteOrder{binary.LittleEndian, binary.BigEndian} {
		for _, nanoseconds := range []bool{false, true} {
			r, err := Open(bytes.NewReader(pcapFile(order, nanoseconds, "hello")))
			if err != nil {
				t.Fatal(err)
			}
			p, err := r.Next()
			if err != nil || string(p.Data) != "hello" || p.WireLength != 12 || !p.Time.Equal(packetTime) ||
				p.Link != layers.LinkTypeRaw || p.Number != 1 || r.Format() != "pcap" {
				t.Errorf("%v, nanoseconds %v: got packet %+v, error %v", order, nanoseconds, p, err)
			}
			if _, err := r.Next(); !errors.Is(err, io.EOF) {
				t.Errorf("after the last packet: got error %v, want io.EOF", err)
			}
		}
	}
}

// Each packet of a pcapng file has the link type of its interface, with several sections in one
// file and unknown blocks between them. The file is encoded as the format's specification says.
func TestSectionsAndInterfaces(t *testing.T) {
	le := binary.LittleEndian
	block := func(kind uint32, body []byte) []byte {
		for len(body)%4 != 0 {
			body = append(body, 0)
		}
		b := le.AppendUint32(nil, kind)
		b = le.AppendUint32(b, uint32(len(body)+12))
		b = append(b, body...)
		return le.AppendUint32(b, uint32(len(body)+12))
	}
	section := block(0x0a0d0d0a,
		append(le.AppendUint32(nil, 0x1a2b3c4d), 1, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 255))
	interfaceBlock := func(link layers.LinkType) []byte {
		return block(1, append(le.AppendUint16(nil, uint16(link)), 0, 0, 0, 0, 4, 0))
	}
	packet := func(interfaceID uint32, data string) []byte {
		b := le.AppendUint32(nil, interfaceID)
		b = append(b, make([]byte, 8)...)
		b = le.AppendUint32(b, uint32(len(data)))
		b = le.AppendUint32(b, uint32(len(data)))
		return block(6, append(b, data...))
	}
	var file []byte
	for _, part := range [][]byte{
		section, interfaceBlock(layers.LinkTypeRaw), interfaceBlock(layers.LinkTypeEthernet),
		packet(0, "one"), packet(1, "two"), block(0x0bad, []byte("a block that is not known")),
		section, interfaceBlock(layers.LinkTypeLinuxSLL), packet(0, "three"),
	} {
		file = append(file, part...)
	}
	r, err := Open(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []struct {
		data string
		link layers.LinkType
	}{{"one", layers.LinkTypeRaw}, {"two", layers.LinkTypeEthernet}, {"three", layers.LinkTypeLinuxSLL}} {
		p, err := r.Next()
		if err != nil || string(p.Data) != want.data || p.Link != want.link {
			t.Errorf("packet %d: got %q with link type %v, error %v", i+1, p.Data, p.Link, err)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last packet: got error %v, want io.EOF", err)
	}
}

// A packet length above the limit is an error that names the packet, and a Reader does not allocate
// a buffer of that length.
func TestInvalidPacketLengths(t *testing.T) {
	for _, n := range []uint32{MaxPacketBytes + 1, 1 << 30, 1<<32 - 1} {
		file := pcapFile(binary.LittleEndian, false, "hello")
		binary.LittleEndian.PutUint32(file[32:], n)
		binary.LittleEndian.PutUint32(file[36:], n)
		r, err := Open(bytes.NewReader(file))
		if err != nil {
			t.Fatal(err)
		}
		var readError *ReadError
		_, err = r.Next()
		if !errors.As(err, &readError) || readError.Packet != 1 ||
			!strings.Contains(err.Error(), "packet 1, at byte 45") {
			t.Errorf("packet length %d: got error %v", n, err)
		}
		if _, again := r.Next(); again != err { //nolint:errorlint // the identical error value is expected
			t.Errorf("second call of Next: got error %v, want %v", again, err)
		}
	}
}

// growingFile is a file that is still being written. Each Read returns at most the rest of one
// part, and after the last part io.EOF.
type growingFile struct{ parts []string }

func (g *growingFile) Read(p []byte) (int, error) {
	if len(g.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, g.parts[0])
	g.parts[0] = g.parts[0][n:]
	if g.parts[0] == "" {
		g.parts = g.parts[1:]
	}
	return n, nil
}

// A file that is still being written is read to its current end, regardless of the sizes of the
// reads.
func TestGrowingFile(t *testing.T) {
	file := string(pcapFile(binary.LittleEndian, false, "hello"))
	r, err := Open(&growingFile{[]string{file[:10], file[10:30], file[30:], file[24:43]}})
	if err != nil {
		t.Fatal(err)
	}
	if p, err := r.Next(); err != nil || string(p.Data) != "hello" {
		t.Errorf("got packet %q, error %v", p.Data, err)
	}
	if _, err := r.Next(); !errors.Is(err, ErrTruncated) {
		t.Errorf("file ends within the second packet: got error %v, want ErrTruncated", err)
	}
}
