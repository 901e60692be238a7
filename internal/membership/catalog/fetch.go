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
	// maxRetryAfter is the longest Retry-After that is taken for what it says.
	maxRetryAfter = time.Hour

	// noVersion stands for the version of a list that there is not, or whose version is in doubt. A
	// call from it is for the full list.
	noVersion = -1
)

// errInvalidAnswer is the error of answers that are no valid list.
var errInvalidAnswer = errors.New("invalid answer")

// overloadedError is the error of a call that discovery has rejected, with status 503 or 429.
type overloadedError struct {
	retryAfter time.Duration // RFC 9110, section 10.2.3; 0: none
}

// Error implements error.
func (e *overloadedError) Error() string {
	if e.retryAfter > 0 {
		return fmt.Sprintf("discovery is overloaded or down, Retry-After %v", e.retryAfter)
	}
	return "discovery is overloaded or down"
}

// outcomeOf returns how a call with an error (or nil) ended, and the Retry-After of the answer; 0:
// none.
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

// fetch calls discovery for what is newer than a version or, with a negative version, for the full
// list. A watch is held for some time; timeout is that of the answer in addition to the hold. A
// delta to an older version than the one that it follows is an error.
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
		return nil, fmt.Errorf("%w: %w", errInvalidAnswer, err)
	}
	if !list.Full && list.Version < version {
		return nil, fmt.Errorf("%w: version went back from %d to %d", errInvalidAnswer, version, list.Version)
	}
	return list, nil
}

// get returns the body of an answer with status 200.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("call discovery: %w", err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // what was read of it is complete, or an error already
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, &overloadedError{retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	default:
		return nil, fmt.Errorf("call discovery: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	return data, nil
}

// parseRetryAfter returns a Retry-After of seconds, integral or decimal; 0 for any other.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
