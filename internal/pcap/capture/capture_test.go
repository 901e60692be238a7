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

var at = time.Date(2026, 12, 24, 20, 0, 0, 123456000, time.UTC)

// pcapFile is a file of one packet, in a byte order and with a resolution, as the format's description has it.
func pcapFile(order binary.AppendByteOrder, nanos bool, data string) []byte {
	magic, fraction := uint32(0xa1b2c3d4), uint32(at.Nanosecond()/1000)
	if nanos {
		magic, fraction = 0xa1b23c4d, uint32(at.Nanosecond())
	}
	b := order.AppendUint32(nil, magic)
	b = order.AppendUint16(b, 2)
	b = order.AppendUint16(b, 4)
	b = append(b, make([]byte, 8)...)
	b = order.AppendUint32(b, 65535)
	b = order.AppendUint32(b, uint32(layers.LinkTypeRaw))
	b = order.AppendUint32(b, uint32(at.Unix()))
	b = order.AppendUint32(b, fraction)
	b = order.AppendUint32(b, uint32(len(data)))
	b = order.AppendUint32(b, uint32(len(data))+7)
	return append(b, data...)
}

func TestBothByteOrdersAndResolutions(t *testing.T) {
	for _, order := range []binary.AppendByteOrder{binary.LittleEndian, binary.BigEndian} {
		for _, nanos := range []bool{false, true} {
			r, err := Open(bytes.NewReader(pcapFile(order, nanos, "hello")))
			if err != nil {
				t.Fatal(err)
			}
			p, err := r.Next()
			if err != nil || string(p.Data) != "hello" || p.WireLength != 12 || !p.Time.Equal(at) || p.Link != layers.LinkTypeRaw || p.Number != 1 || r.Format() != "pcap" {
				t.Errorf("%v, nanoseconds %v: %+v, %v", order, nanos, p, err)
			}
			if _, err := r.Next(); !errors.Is(err, io.EOF) {
				t.Errorf("behind the last packet: %v", err)
			}
		}
	}
}

// A file of several sections and of interfaces with links of their own, as the format's description has it.
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
	section := block(0x0a0d0d0a, append(le.AppendUint32(nil, 0x1a2b3c4d), 1, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 255))
	side := func(link layers.LinkType) []byte {
		return block(1, append(le.AppendUint16(nil, uint16(link)), 0, 0, 0, 0, 4, 0))
	}
	packet := func(iface uint32, data string) []byte {
		b := le.AppendUint32(nil, iface)
		b = append(b, make([]byte, 8)...)
		b = le.AppendUint32(b, uint32(len(data)))
		b = le.AppendUint32(b, uint32(len(data)))
		return block(6, append(b, data...))
	}
	var file []byte
	for _, part := range [][]byte{
		section, side(layers.LinkTypeRaw), side(layers.LinkTypeEthernet), packet(0, "one"), packet(1, "two"),
		block(0x0bad, []byte("a block that nobody knows")), section, side(layers.LinkTypeLinuxSLL), packet(0, "three"),
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
			t.Errorf("packet %d: %q with link %v, %v", i+1, p.Data, p.Link, err)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the last packet: %v", err)
	}
}

// Lengths that cannot be are a fault with its place, and take no memory.
func TestHostileLengths(t *testing.T) {
	for _, n := range []uint32{MaxPacketBytes + 1, 1 << 30, 1<<32 - 1} {
		file := pcapFile(binary.LittleEndian, false, "hello")
		binary.LittleEndian.PutUint32(file[32:], n)
		binary.LittleEndian.PutUint32(file[36:], n)
		r, err := Open(bytes.NewReader(file))
		if err != nil {
			t.Fatal(err)
		}
		var fault *ReadError
		_, err = r.Next()
		if !errors.As(err, &fault) || fault.Packet != 1 || !strings.Contains(err.Error(), "packet 1, at byte 45") {
			t.Errorf("a length of %d: %v", n, err)
		}
		if _, again := r.Next(); again != err {
			t.Errorf("asked again: %v", again)
		}
	}
}

// growing gives what has been written so far, and then the end.
type growing struct{ parts []string }

func (g *growing) Read(p []byte) (int, error) {
	if len(g.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, g.parts[0])
	if g.parts[0] = g.parts[0][n:]; g.parts[0] == "" {
		g.parts = g.parts[1:]
	}
	return n, nil
}

// A file that is still being written is read as far as it goes, however its parts come.
func TestAFileThatGrows(t *testing.T) {
	whole := string(pcapFile(binary.LittleEndian, false, "hello"))
	r, err := Open(&growing{[]string{whole[:10], whole[10:30], whole[30:], whole[24:43]}})
	if err != nil {
		t.Fatal(err)
	}
	if p, err := r.Next(); err != nil || string(p.Data) != "hello" {
		t.Errorf("got %q, %v", p.Data, err)
	}
	if _, err := r.Next(); !errors.Is(err, ErrTruncated) {
		t.Errorf("within the second packet: %v", err)
	}
}
