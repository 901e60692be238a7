package capture

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/gopacket/gopacket/pcapgo"
)

const bufferSize = 256 << 10 // bytes

var (
	gzipMagic   = []byte{0x1f, 0x8b}             // RFC 1952, section 2.3.1
	pcapngMagic = []byte{0x0a, 0x0d, 0x0d, 0x0a} // block type of a section header block
)

// countingReader counts the bytes read through it.
type countingReader struct {
	reader io.Reader
	count  int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count += int64(n)
	return n, err
}

// Open detects the format of a capture file and returns a Reader for its packets. If the file is
// not a capture file, the error contains the bytes that were found instead.
func Open(file io.Reader) (*Reader, error) {
	r := &Reader{input: &countingReader{reader: file}}
	buffered := bufio.NewReaderSize(r.input, bufferSize)
	compression := ""
	if head, _ := buffered.Peek(len(gzipMagic)); bytes.Equal(head, gzipMagic) {
		decompressor, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, fmt.Errorf("capture: gzip: %w", err)
		}
		buffered = bufio.NewReaderSize(decompressor, bufferSize)
		compression = ", gzip"
	}
	head, err := buffered.Peek(len(pcapngMagic))
	if err != nil {
		return nil, fmt.Errorf("capture: file of %d bytes is too short: expected a pcap or pcapng file", len(head))
	}
	if bytes.Equal(head, pcapngMagic) {
		options := pcapgo.NgReaderOptions{WantMixedLinkType: true, SkipUnknownVersion: true}
		packets, err := pcapgo.NewNgReader(buffered, options)
		if err != nil {
			return nil, fmt.Errorf("capture: pcapng: %w", err)
		}
		r.format, r.packets = "pcapng"+compression, packets
		return r, nil
	}
	packets, err := pcapgo.NewReader(buffered)
	if err != nil {
		return nil, fmt.Errorf("capture: invalid file header % x: expected a pcap or pcapng file: %w", head, err)
	}
	r.format, r.packets, r.link = "pcap"+compression, packets, packets.LinkType()
	return r, nil
}
