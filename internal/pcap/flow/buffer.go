package flow

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const maxBufferedSegments = 1024 // per stream

// bufferedSegment is an out-of-order segment, which is delivered after the bytes before it.
type bufferedSegment struct {
	offset int64
	data   []byte
	packet int64
	time   time.Time
}

// end returns the offset of the first byte after the segment.
func (b *bufferedSegment) end() int64 { return b.offset + int64(len(b.data)) }

// buffer buffers the parts of a segment that are not buffered yet, and compares the other parts
// with the buffered bytes.
func (a *Assembler) buffer(f *Flow, dir Direction, added bufferedSegment) {
	st := &f.streams[dir]
	i, _ := slices.BinarySearchFunc(st.buffered, added.offset, func(b bufferedSegment, offset int64) int {
		return cmp.Compare(b.offset, offset)
	})
	if i > 0 && st.buffered[i-1].end() > added.offset {
		i--
	}
	for len(added.data) > 0 {
		if i == len(st.buffered) || st.buffered[i].offset >= added.end() {
			a.bufferAt(st, i, added)
			return
		}
		known := st.buffered[i]
		if added.offset < known.offset { // the part before the known segment
			before := added
			before.data = added.data[:known.offset-added.offset]
			a.bufferAt(st, i, before)
			added.skip(int64(len(before.data)))
			i++
		}
		overlap := min(int64(len(added.data)), known.end()-added.offset)
		a.compareOverlap(f, dir, added.offset,
			known.data[added.offset-known.offset:][:overlap], added.data[:overlap], added.packet)
		added.skip(overlap)
		i++
	}
}

// skip removes the first n bytes of the segment.
func (b *bufferedSegment) skip(n int64) {
	b.offset += n
	b.data = b.data[n:]
}

// bufferAt inserts a copy of a segment at index i of the buffered segments.
func (a *Assembler) bufferAt(st *stream, i int, added bufferedSegment) {
	added.data = bytes.Clone(added.data)
	st.buffered = slices.Insert(st.buffered, i, added)
	st.bufferedBytes += len(added.data)
	a.bufferedBytes += len(added.data)
}
