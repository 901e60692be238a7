package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

const (
	maxListBytes = 4 << 20
	// maxRetryAfter caps the Retry-After of a response.
	maxRetryAfter = time.Hour

	// noVersion means that there is no list, or that its version is uncertain. A call with
	// noVersion reads the full list.
	noVersion = -1
)

// errInvalidResponse is the error of a response without a valid list.
var errInvalidResponse = errors.New("invalid response")

// overloadedError is the error of a call that discovery rejected with status 503 or 429.
type overloadedError struct {
	retryAfter time.Duration // RFC 9110, section 10.2.3; 0 means none
}

// Error implements error.
func (e *overloadedError) Error() string {
	if e.retryAfter > 0 {
		return fmt.Sprintf("discovery is overloaded or unavailable, Retry-After %v", e.retryAfter)
	}
	return "discovery is overloaded or unavailable"
}

// outcomeOf returns the outcome of a call that returned err, and the Retry-After of its response. A
// Retry-After of 0 means none.
func outcomeOf(err error) (start.Outcome, time.Duration) {
	var overloaded *overloadedError
	switch {
	case err == nil:
		return start.Answered, 0
	case errors.As(err, &overloaded):
		return start.Rejected, overloaded.retryAfter
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return start.TimedOut, 0
	}
	return start.Failed, 0
}

// fetch reads the changes since a version, or the full list if version is negative. A watch is held
// for at most hold; timeout applies to the response in addition to hold. A delta whose version is
// lower than the given version is an error.
func (c *Client) fetch(ctx context.Context, version int64, hold, timeout time.Duration) (*membership.List, error) {
	url := "http://" + c.cfg.Address + "/catalog/members"
	if version >= 0 {
		url += "?from=" + strconv.FormatInt(version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
		timeout += hold
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := c.get(ctx, url)
	if err != nil {
		return nil, err
	}
	list, err := membership.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if !list.Full && list.Version < version {
		return nil, fmt.Errorf("%w: version decreased from %d to %d", errInvalidResponse, version, list.Version)
	}
	return list, nil
}

// get returns the body of a response with status 200.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("call discovery: %w", err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // a read body is complete, or its error is returned already
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, &overloadedError{retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	default:
		return nil, fmt.Errorf("call discovery: unexpected status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	return data, nil
}

// parseRetryAfter parses a Retry-After in integral or decimal seconds. It returns 0 for any other
// value.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
