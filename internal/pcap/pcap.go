// Package pcap reads the HTTP/1.1 traffic of a capture file: packets to segments, segments to flows, flows to requests
// and their answers. Each step counts what it takes and what became of it, so that nothing is dropped in silence.
package pcap

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"
)

// Options bound and direct a reading. The zero value is fine.
type Options struct {
	Flow        flow.Limits
	HTTP        http.Limits
	Bodies      http.Store                // of bodies too large for memory; nil: all stay there
	OnMalformed func(*packet.DecodeError) // takes packets of no sense; may be nil
}

// Summary counts what was read.
type Summary struct {
	Format             string          `json:"format"`
	Packets            int64           `json:"packets"`
	Segments           int64           `json:"segments"`  // of TCP
	OtherPackets       int64           `json:"others"`    // packets of other protocols
	Fragments          int64           `json:"fragments"` // that waited for others
	DiscardedFragments int64           `json:"fragments_given_up"`
	Malformed          int64           `json:"bad"` // packets of no sense, or cut within a header
	TimeReversals      int64           `json:"time_went_back"`
	First              time.Time       `json:"first"`
	Last               time.Time       `json:"last"`
	Payload            flow.ByteCounts `json:"payload"`
	Stream             http.ByteCounts `json:"stream"`
	ReadFailure        *string         `json:"broken,omitempty"` // why the file could not be read to its end
	readError          *capture.ReadError
}

// Complete tells whether the file was read to its end.
func (s *Summary) Complete() bool { return s.readError == nil }

// Check tells whether every byte is accounted for. An error is a fault of this program.
func (s *Summary) Check() error {
	var wrong []string
	if sum := s.Segments + s.OtherPackets + s.Fragments + s.Malformed; sum != s.Packets {
		wrong = append(wrong, fmt.Sprintf("%d packets, %d accounted for", s.Packets, sum))
	}
	if sum := s.Payload.Sum(); sum != s.Payload.Payload {
		wrong = append(wrong, fmt.Sprintf("%d bytes of payload, %d accounted for", s.Payload.Payload, sum))
	}
	if s.Payload.Delivered != s.Stream.Bytes {
		wrong = append(wrong, fmt.Sprintf("%d bytes handed on, %d taken", s.Payload.Delivered, s.Stream.Bytes))
	}
	if sum := s.Stream.Sum(); sum != s.Stream.Bytes {
		wrong = append(wrong, fmt.Sprintf("%d bytes of streams, %d accounted for", s.Stream.Bytes, sum))
	}
	if wrong != nil {
		return errors.New("pcap: " + strings.Join(wrong, "; "))
	}
	return nil
}

// contextCheckInterval is how many packets pass between two looks at the context.
const contextCheckInterval = 4096

// Read reads a whole capture and tells sink what it holds. A file that breaks off is read as far as it goes, and the
// Summary says so; an error means that nothing could be read, or that the context ended.
func Read(ctx context.Context, r io.Reader, opts Options, sink http.Sink) (*Summary, error) {
	file, err := capture.Open(r)
	if err != nil {
		return nil, err
	}
	reader := http.NewReader(opts.HTTP, opts.Bodies, sink)
	flows := flow.New(opts.Flow, reader)
	decoder := packet.New()
	sum := &Summary{Format: file.Format()}
	var segment flow.Segment
	for {
		p, err := file.Next()
		if err != nil {
			errors.As(err, &sum.readError)
			break
		}
		if sum.Packets%contextCheckInterval == 0 && ctx.Err() != nil {
			return nil, fmt.Errorf("pcap: at packet %d: %w", p.Number, ctx.Err())
		}
		if sum.Packets++; sum.Packets == 1 {
			sum.First, sum.Last = p.Time, p.Time
		} else if p.Time.Before(sum.Last) {
			sum.TimeReversals++
		} else {
			sum.Last = p.Time
		}
		kind, err := decoder.Decode(&p, &segment)
		switch kind {
		case packet.Segment:
			sum.Segments++
			flows.Add(&segment)
		case packet.Other:
			sum.OtherPackets++
		case packet.Fragment:
			sum.Fragments++
		case packet.Malformed:
			if sum.Malformed++; opts.OnMalformed != nil {
				opts.OnMalformed(&packet.DecodeError{Packet: p.Number, Err: err})
			}
		}
	}
	flows.Close()
	sum.DiscardedFragments = decoder.DiscardedFragments()
	sum.Payload, sum.Stream = flows.ByteCounts(), reader.ByteCounts()
	if sum.readError != nil {
		why := sum.readError.Error()
		sum.ReadFailure = &why
	}
	return sum, nil
}
