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
	wait = 2 * time.Second // for which a query blocks where nothing changes
	// queryTimeout is in addition to that: a connection can fall silent, and nothing else shows it.
	queryTimeout = time.Second
	maxListBytes = 16 << 20
)

// The reasons for which an answer is rejected.
var (
	errNoLeader = errors.New("read without a leader")
	errNoIndex  = errors.New("no index")
)

// query makes one query, and returns the answer's index and entries. With index 0 it does not
// block.
func (s *Source) query(ctx context.Context, index uint64) (uint64, []reconcile.Entry, error) {
	address := "http://" + s.cfg.Address + "/v1/health/service/" + url.PathEscape(s.cfg.Service)
	timeout := queryTimeout
	if index > 0 {
		address += fmt.Sprintf("?index=%d&wait=%dms", index, wait.Milliseconds())
		timeout += wait + wait/16 // the registry spreads its answers by a sixteenth
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
	defer func() { _ = resp.Body.Close() }() // what was read of it is complete, or an error already
	next, err := parseHeader(resp)
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	if len(data) > maxListBytes {
		return 0, nil, fmt.Errorf("read: over %d bytes", maxListBytes)
	}
	entries, err := parse(data)
	if err != nil {
		return 0, nil, err
	}
	return next, entries, nil
}

// parseHeader returns the index of an answer, or why the answer is rejected.
func parseHeader(resp *http.Response) (uint64, error) {
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("query: status %s", resp.Status)
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
