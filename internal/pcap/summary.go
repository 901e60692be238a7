package pcap

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
)

// Summary contains the counts of a capture that was read.
type Summary struct {
	Format             string          `json:"format"`
	Packets            int64           `json:"packets"`
	Segments           int64           `json:"segments"`  // TCP segments
	OtherPackets       int64           `json:"others"`    // packets of other protocols
	Fragments          int64           `json:"fragments"` // IP fragments of datagrams that were incomplete when read
	DiscardedFragments int64           `json:"fragments_given_up"`
	Malformed          int64           `json:"bad"`            // malformed packets
	TimeReversals      int64           `json:"time_went_back"` // packets with an earlier time than a previous packet
	First              time.Time       `json:"first"`
	Last               time.Time       `json:"last"`
	Payload            flow.ByteCounts `json:"payload"`
	Stream             http.ByteCounts `json:"stream"`
	ReadFailure        *string         `json:"broken,omitempty"` // reason for which the file was not read to its end

	readError *capture.ReadError // nil if the file was read to its end
}

// AccountingError reports the sums of a Summary that do not match. It is caused by a defect of this
// program, not of the capture.
type AccountingError struct {
	Mismatches []string
}

// Error implements error.
func (e *AccountingError) Error() string { return "pcap: " + strings.Join(e.Mismatches, "; ") }

// Complete reports whether the file was read to its end.
func (s *Summary) Complete() bool { return s.readError == nil }

// Check checks that every packet and every byte is accounted for. The error is an *AccountingError.
func (s *Summary) Check() error {
	var mismatches []string
	mismatch := func(format string, counted, accounted int64) {
		if counted != accounted {
			mismatches = append(mismatches, fmt.Sprintf(format, counted, accounted))
		}
	}
	mismatch("%d packets, %d accounted for", s.Packets, s.Segments+s.OtherPackets+s.Fragments+s.Malformed)
	mismatch("%d bytes of payload, %d accounted for", s.Payload.Payload, s.Payload.Sum())
	mismatch("%d bytes delivered by flows, %d received by streams", s.Payload.Delivered, s.Stream.Bytes)
	mismatch("%d bytes of streams, %d accounted for", s.Stream.Bytes, s.Stream.Sum())
	if mismatches != nil {
		return &AccountingError{Mismatches: mismatches}
	}
	return nil
}

// addTime updates First, Last and TimeReversals with the time of the next packet.
func (s *Summary) addTime(t time.Time) {
	switch {
	case s.Packets == 0:
		s.First, s.Last = t, t
	case t.Before(s.Last):
		s.TimeReversals++
	default:
		s.Last = t
	}
}

// setReadError records the error of a file that cannot be read to its end. io.EOF is not recorded.
func (s *Summary) setReadError(err error) {
	if !errors.As(err, &s.readError) {
		return
	}
	reason := s.readError.Error()
	s.ReadFailure = &reason
}
