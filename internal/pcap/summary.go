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

// Summary counts what was read.
type Summary struct {
	Format             string          `json:"format"`
	Packets            int64           `json:"packets"`
	Segments           int64           `json:"segments"`  // of TCP
	OtherPackets       int64           `json:"others"`    // of other protocols
	Fragments          int64           `json:"fragments"` // that waited for the rest of their datagram
	DiscardedFragments int64           `json:"fragments_given_up"`
	Malformed          int64           `json:"bad"`            // packets
	TimeReversals      int64           `json:"time_went_back"` // packets with an earlier time than one before
	First              time.Time       `json:"first"`
	Last               time.Time       `json:"last"`
	Payload            flow.ByteCounts `json:"payload"`
	Stream             http.ByteCounts `json:"stream"`
	ReadFailure        *string         `json:"broken,omitempty"` // why the file could not be read to its end

	readError *capture.ReadError // nil if the file was read to its end
}

// AccountingError says which sums of a Summary do not agree. It is a fault of this program, not of
// a capture.
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
	mismatch("%d bytes handed on, %d taken", s.Payload.Delivered, s.Stream.Bytes)
	mismatch("%d bytes of streams, %d accounted for", s.Stream.Bytes, s.Stream.Sum())
	if mismatches != nil {
		return &AccountingError{Mismatches: mismatches}
	}
	return nil
}

// addTime adds the time of the next packet.
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

// setReadError sets the error of a file that cannot be read to its end. The end itself is none.
func (s *Summary) setReadError(err error) {
	if !errors.As(err, &s.readError) {
		return
	}
	reason := s.readError.Error()
	s.ReadFailure = &reason
}
