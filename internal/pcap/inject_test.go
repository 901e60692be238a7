package pcap

import (
	"math/rand/v2"
	"slices"

	"fernlanding/internal/pcap/synth"
)

// injectedFault is a kind of fault that is made of a connection's segments.
type injectedFault int

const (
	lostSegment injectedFault = iota
	retransmittedSegment
	outOfOrderSegment
	conflictingRetransmission
	truncatedSegment
	keepAliveProbe
	overlappingSegment
	fragmentedSegment

	injectedFaultCount = iota
)

// injectFault makes a random fault of a connection's segments. It reports whether a reading has to
// report the fault: order and retransmissions can be restored.
func injectFault(rnd *rand.Rand, c *synth.Conn) (mustBeReported bool) {
	var withData []int
	for i, p := range c.Parts {
		if len(p.Data) > 2 && !p.Altered {
			withData = append(withData, i)
		}
	}
	if withData == nil {
		return false
	}
	// No part is altered twice, lest one fault undo another.
	pick := func() int {
		i := withData[rnd.IntN(len(withData))]
		c.Parts[i].Altered = true
		return i
	}
	switch injectedFault(rnd.IntN(injectedFaultCount)) {
	case lostSegment:
		i := pick()
		c.Parts = slices.Delete(c.Parts, i, i+1)
		return true
	case retransmittedSegment: // at once or late
		i := pick()
		c.Parts = slices.Insert(c.Parts, i+1+rnd.IntN(len(c.Parts)-i), c.Parts[i])
	case outOfOrderSegment:
		i := pick()
		p := c.Parts[i]
		j := min(len(c.Parts)-1, i+1+rnd.IntN(4))
		c.Parts = slices.Insert(slices.Delete(c.Parts, i, i+1), j, p)
	case conflictingRetransmission: // at once
		i := pick()
		p := c.Parts[i]
		p.Data = slices.Clone(p.Data)
		p.Data[rnd.IntN(len(p.Data))] ^= 0x55
		c.Parts = slices.Insert(c.Parts, i+1, p)
		return true
	case truncatedSegment: // by the snap length
		i := pick()
		c.Parts[i].Truncated = 1 + rnd.IntN(len(c.Parts[i].Data)-1)
		return true
	case keepAliveProbe:
		i := pick()
		p := c.Parts[i]
		probe := synth.Part{Direction: p.Direction, Seq: p.Seq + uint32(len(p.Data)) - 1, Data: []byte{0}}
		c.Parts = slices.Insert(c.Parts, i+1, probe)
	case overlappingSegment:
		for range 8 {
			if i := pick(); overlapNext(rnd, c, i) {
				break
			}
		}
	case fragmentedSegment:
		c.Parts[pick()].Fragments = 2 + rnd.IntN(3)
	}
	return false
}

// overlapNext has the segment after one begin with the last bytes of that one. It reports whether
// there is such a segment in the same direction.
func overlapNext(rnd *rand.Rand, c *synth.Conn, i int) bool {
	if i+1 >= len(c.Parts) {
		return false
	}
	part, next := &c.Parts[i], &c.Parts[i+1]
	if next.Direction != part.Direction || len(next.Data) == 0 || next.Altered {
		return false
	}
	next.Altered = true
	n := 1 + rnd.IntN(len(part.Data)-1)
	next.Seq -= uint32(n)
	next.Data = append(slices.Clone(part.Data[len(part.Data)-n:]), next.Data...)
	return true
}
