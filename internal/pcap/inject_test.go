package pcap

import (
	"math/rand/v2"
	"slices"

	"fernlanding/internal/pcap/synth"
)

// injectedFault is a kind of fault that is injected into the segments of a connection.
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

// injectFault injects a random fault into the segments of a connection. It returns whether Read has
// to report the fault: reordering and retransmissions can be repaired and need no report.
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
	// No part is altered twice, since one fault could undo another.
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
	case retransmittedSegment: // immediately or later
		i := pick()
		c.Parts = slices.Insert(c.Parts, i+1+rnd.IntN(len(c.Parts)-i), c.Parts[i])
	case outOfOrderSegment:
		i := pick()
		p := c.Parts[i]
		j := min(len(c.Parts)-1, i+1+rnd.IntN(4))
		c.Parts = slices.Insert(slices.Delete(c.Parts, i, i+1), j, p)
	case conflictingRetransmission: // immediately
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

// overlapNext extends the segment after part i with the last bytes of part i. It reports whether
// the next part is an unaltered data segment of the same direction.
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
