// Package pcap reads the HTTP/1.1 traffic of a capture file. It decodes packets to segments,
// reassembles segments to flows, and parses requests and responses from flows. Each stage counts
// its input and the outcome of the input, so that no loss remains undetected.
package pcap

import (
	"context"
	"fmt"
	"io"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"
)

// Options are the limits and the destinations of Read. The zero value is valid.
type Options struct {
	Flow        flow.Limits
	HTTP        http.Limits
	Bodies      http.Store                // store of large bodies; nil means that all bodies stay in memory
	OnMalformed func(*packet.DecodeError) // called for each malformed packet; may be nil
}

const contextCheckInterval = 4096 // packets between two checks of the context

// Read reads a capture file and reports its contents to a sink. A truncated or damaged file is read
// as far as possible, and the Summary contains the reason. An error means that the file is not a
// capture file, or that the context ended.
func Read(ctx context.Context, file io.Reader, opts Options, sink http.Sink) (*Summary, error) {
	packets, err := capture.Open(file)
	if err != nil {
		return nil, err
	}
	messages := http.NewReader(opts.HTTP, opts.Bodies, sink)
	r := &reading{
		onMalformed: opts.OnMalformed,
		decoder:     packet.New(),
		flows:       flow.New(opts.Flow, messages),
		summary:     &Summary{Format: packets.Format()},
	}
	if err := r.readPackets(ctx, packets); err != nil {
		return nil, err
	}
	r.flows.Close()
	summary := r.summary
	summary.DiscardedFragments = r.decoder.DiscardedFragments()
	summary.Payload, summary.Stream = r.flows.ByteCounts(), messages.ByteCounts()
	return summary, nil
}

// reading is the state of one call of Read.
type reading struct {
	onMalformed func(*packet.DecodeError) // may be nil
	decoder     *packet.Decoder
	flows       *flow.Assembler
	summary     *Summary
	segment     flow.Segment // reused for each packet
}

// readPackets reads all packets, up to the end of the file or to the first packet that cannot be
// read. It returns an error only if the context ends.
func (r *reading) readPackets(ctx context.Context, packets *capture.Reader) error {
	for {
		next, err := packets.Next()
		if err != nil {
			r.summary.setReadError(err)
			return nil // the packets before the error are valid
		}
		if r.summary.Packets%contextCheckInterval == 0 && ctx.Err() != nil {
			return fmt.Errorf("pcap: read interrupted at packet %d: %w", next.Number, ctx.Err())
		}
		r.summary.addTime(next.Time)
		r.addPacket(&next)
	}
}

// addPacket decodes a packet, counts it, and passes its segment to the assembler.
func (r *reading) addPacket(p *capture.Packet) {
	r.summary.Packets++
	kind, err := r.decoder.Decode(p, &r.segment)
	switch kind {
	case packet.Segment:
		r.summary.Segments++
		r.flows.Add(&r.segment)
	case packet.Other:
		r.summary.OtherPackets++
	case packet.Fragment:
		r.summary.Fragments++
	case packet.Malformed:
		r.summary.Malformed++
		if r.onMalformed != nil {
			r.onMalformed(&packet.DecodeError{Packet: p.Number, Err: err})
		}
	}
}
