package replay

import (
	"errors"
	"fmt"
	"net/netip"
)

var (
	// ErrTooManyRequests is the error of a capture with more requests than Options.MaxRequests.
	ErrTooManyRequests = errors.New("more requests than a replay takes")

	errNotSent    = errors.New("not sent: the replay was ended")
	errNoResponse = errors.New("the connection ended before the answer")
)

// SpeedError is the error of a speed that is out of range.
type SpeedError struct {
	Speed float64
}

// Error implements error.
func (e *SpeedError) Error() string {
	return fmt.Sprintf("replay: speed: found %g, expected %g to %g", e.Speed, minSpeed, maxSpeed)
}

// FieldError is the error of a field that cannot be set.
type FieldError struct {
	Name string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("replay: field %.40q: it cannot be set", e.Name)
}

// AddressError is the error of an address that a replay may not go to.
type AddressError struct {
	Address netip.AddrPort
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("replay: %v is neither loopback nor allowed", e.Address)
}
