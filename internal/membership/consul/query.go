package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fernlanding/internal/membership/reconcile"
)

const (
	queryWait = 2 * time.Second // how long a query without a change blocks
	// queryTimeout is the time for a response in addition to queryWait. It detects a connection
	// that no longer delivers data, which has no other symptom.
	queryTimeout = time.Second
	maxListBytes = 16 << 20
)

// The reasons for rejecting a response.
var (
	errNoLeader = errors.New("read without a leader")
	errNoIndex  = errors.New("invalid X-Consul-Index")
)

// query makes one query and returns the index and the entries of the response. A query with index 0
// does not block.
func (s *Source) query(ctx context.Context, index uint64) (uint64, []reconcile.Entry, error) {
	address := "http://" + s.cfg.Address + "/v1/health/service/" + url.PathEscape(s.cfg.Service)
	timeout := queryTimeout
	if index > 0 {
		address += fmt.Sprintf("?index=%d&wait=%dms", index, queryWait.Milliseconds())
		timeout += queryWait + queryWait/16 // the registry spreads its responses over a sixteenth of the wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("query: %w", err)
	}
	if s.cfg.Token != "" {
		req.Header.Set("X-Consul-Token", s.cfg.Token)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("query: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // a read body is complete, or its error is returned already
	next, err := parseHeader(resp)
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	if len(data) > maxListBytes {
		return 0, nil, fmt.Errorf("read: response exceeds the limit of %d bytes", maxListBytes)
	}
	entries, err := parse(data)
	if err != nil {
		return 0, nil, err
	}
	return next, entries, nil
}

// parseHeader returns the index of a response, or the reason for rejecting the response.
func parseHeader(resp *http.Response) (uint64, error) {
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("query: unexpected status %s", resp.Status)
	}
	if resp.Header.Get("X-Consul-Knownleader") == "false" {
		return 0, errNoLeader
	}
	text := resp.Header.Get("X-Consul-Index")
	index, err := strconv.ParseUint(text, 10, 64)
	if err != nil || index == 0 {
		return 0, fmt.Errorf("%w: %q", errNoIndex, text)
	}
	return index, nil
}
