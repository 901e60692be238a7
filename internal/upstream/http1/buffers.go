package http1

import (
	"bufio"
	"net"
	"sync"
)

// maxReusedBuffer is the limit in bytes of a request buffer that is reused for the next request.
const maxReusedBuffer = 16 << 10

// connBuffers are the buffers of a connection that is in use. An idle connection has none.
type connBuffers struct {
	reader  *bufio.Reader
	request []byte // the encoded request
	rawHead []byte // head of the latest response that is not informational, with its empty line
}

// freeBuffers is a pool of buffers of type *connBuffers.
var freeBuffers = sync.Pool{
	New: func() any { return &connBuffers{reader: bufio.NewReaderSize(nil, maxResponseHead)} },
}

// takeBuffers returns buffers that read from a connection.
func takeBuffers(netConn net.Conn) *connBuffers {
	b, _ := freeBuffers.Get().(*connBuffers)
	b.reader.Reset(netConn)
	return b
}

// releaseBuffers makes the buffers available to other connections. The caller does not use them any more.
func (b *connBuffers) releaseBuffers() {
	b.reader.Reset(nil)
	b.request, b.rawHead = b.request[:0], b.rawHead[:0]
	if cap(b.request) > maxReusedBuffer {
		b.request = nil
	}
	freeBuffers.Put(b)
}
