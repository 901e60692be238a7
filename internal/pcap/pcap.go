// Package pcap reads the HTTP/1.1 traffic of a capture file: packets to segments, segments to
// flows, flows to requests and their responses. Each step counts what it takes and what became of
// it, so that nothing is lost unnoticed.
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

// Options are the limits of a reading, and where parts of it go. The zero value is valid.
type Options struct {
	Flow        flow.Limits
	HTTP        http.Limits
	Bodies      http.Store                // of bodies too large for memory; nil: all stay in memory
	OnMalformed func(*packet.DecodeError) // is called for each malformed packet; may be nil
}

// contextCheckInterval is in packets.
const contextCheckInterval = 4096

// Read reads a capture and reports what it holds to a sink. A file that breaks off is read as far
// as possible, and the Summary says so. An error means that the file is no capture, or that the
// context ended.
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

// reading is a capture on its way from packets to flows.
type reading struct {
	onMalformed func(*packet.DecodeError) // may be nil
	decoder     *packet.Decoder
	flows       *flow.Assembler
	summary     *Summary
	segment     flow.Segment // reused for each packet
}

// readPackets reads all packets, up to the end of the file or to where it cannot be read further.
// It returns an error only if the context ends.
func (r *reading) readPackets(ctx context.Context, packets *capture.Reader) error {
	for {
		next, err := packets.Next()
		if err != nil {
			r.summary.setReadError(err)
			return nil // what was read before it counts
		}
		if r.summary.Packets%contextCheckInterval == 0 && ctx.Err() != nil {
			return fmt.Errorf("pcap: at packet %d: %w", next.Number, ctx.Err())
		}
		r.summary.addTime(next.Time)
		r.addPacket(&next)
	}
}

// addPacket decodes a packet, counts it, and hands on its segment.
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
