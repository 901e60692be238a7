package flow

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const maxBufferedSegments = 1024 // of one stream

// bufferedSegment is out of order: it waits for the bytes before it.
type bufferedSegment struct {
	offset int64
	data   []byte
	packet int64
	time   time.Time
}

// end returns the offset behind the segment.
func (b *bufferedSegment) end() int64 { return b.offset + int64(len(b.data)) }

// buffer keeps the parts of a segment that are not buffered yet, and compares the others.
func (a *Assembler) buffer(f *Flow, dir Direction, added bufferedSegment) {
	half := &f.streams[dir]
	i, _ := slices.BinarySearchFunc(half.buffered, added.offset, func(b bufferedSegment, offset int64) int {
		return cmp.Compare(b.offset, offset)
	})
	if i > 0 && half.buffered[i-1].end() > added.offset {
		i--
	}
	for len(added.data) > 0 {
		if i == len(half.buffered) || half.buffered[i].offset >= added.end() {
			a.bufferAt(half, i, added)
			return
		}
		known := half.buffered[i]
		if added.offset < known.offset { // the part before the one that is buffered
			before := added
			before.data = added.data[:known.offset-added.offset]
			a.bufferAt(half, i, before)
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

// skip drops the segment's first bytes.
func (b *bufferedSegment) skip(n int64) {
	b.offset += n
	b.data = b.data[n:]
}

// bufferAt inserts a copy of a segment into the buffer.
func (a *Assembler) bufferAt(half *stream, i int, added bufferedSegment) {
	added.data = bytes.Clone(added.data)
	half.buffered = slices.Insert(half.buffered, i, added)
	half.bufferedBytes += len(added.data)
	a.bufferedBytes += len(added.data)
}
