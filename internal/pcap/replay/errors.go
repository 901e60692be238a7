package replay

import (
	"errors"
	"fmt"
	"net/netip"
)

var (
	// ErrTooManyRequests is the error of Plan.Add for requests in excess of Options.MaxRequests.
	ErrTooManyRequests = errors.New("too many requests in the capture")

	errNotSent    = errors.New("not sent: the replay was ended")
	errNoResponse = errors.New("the connection ended before the answer")
)

// SpeedError reports a speed that is out of range.
type SpeedError struct {
	Speed float64
}

// Error implements error.
func (e *SpeedError) Error() string {
	return fmt.Sprintf("replay: invalid speed %g: expected %g to %g", e.Speed, minSpeed, maxSpeed)
}

// FieldError reports a header field that cannot be set.
type FieldError struct {
	Name string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("replay: field %.40q cannot be set", e.Name)
}

// AddressError reports a target address that is not allowed.
type AddressError struct {
	Address netip.AddrPort
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("replay: %v is neither loopback nor allowed", e.Address)
}
