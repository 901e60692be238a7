package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/distribution"
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	bufferBytes   = 2 << 10   // of a connection, each way
	maxErrorBytes = 512       // of an answer that is none
	maxRetryAfter = time.Hour // beyond which what a relay asks for is no wait
)

// OverloadedError is a relay that turns a call away for now.
type OverloadedError struct {
	RetryAfter time.Duration // 0: not told
	Reason     string
}

func (e *OverloadedError) Error() string { return "turned away: " + e.Reason }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// defaultDial returns the DialFunc of a client for which none is configured.
func defaultDial() DialFunc { return (&net.Dialer{KeepAlive: -1}).DialContext }

// Client calls sources and relays.
type Client struct{ http *http.Client }

// NewClient returns a client; dial nil: the usual one.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = defaultDial()
	}
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext: bounded, DisableCompression: true, IdleConnTimeout: idleTimeout,
			ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, MaxIdleConnsPerHost: 2,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close ends the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Follow reads, waiting for news as long as the request says. Errors:
// distribution.ErrUnknownSession, BusyError, others.
func (c *Client) Follow(ctx context.Context, address string, req *distribution.FollowRequest) (*distribution.FollowResponse, error) {
	response := new(distribution.FollowResponse)
	if err := c.call(ctx, http.MethodPost, address, PathFollow, req, response, distribution.MaxResponseBytes); err != nil {
		return nil, err
	}
	if err := response.Validate(); err != nil {
		return nil, fmt.Errorf("%s: answer: %w", address, err)
	}
	return response, nil
}

// Put writes to a resource at the source. Errors: distribution.ConflictError, BusyError, others.
func (c *Client) Put(ctx context.Context, address string, req *distribution.PutRequest) (distribution.Version, error) {
	var response distribution.PutResponse
	err := c.call(ctx, http.MethodPost, address, PathPut, req, &response, maxErrorBytes)
	return response.Version, err
}

// Status asks how far a resource is in force at the proxies behind a source or relay.
func (c *Client) Status(ctx context.Context, address, resource string) (*distribution.ResourceStatus, error) {
	status := new(distribution.ResourceStatus)
	path := PathStatus + "?resource=" + url.QueryEscape(resource)
	if err := c.call(ctx, http.MethodGet, address, path, nil, status, distribution.MaxRequestBytes); err != nil {
		return nil, err
	}
	if err := status.Validate(); err != nil {
		return nil, fmt.Errorf("%s: status: %w", address, err)
	}
	return status, nil
}

// Resource reads a resource as a whole.
func (c *Client) Resource(ctx context.Context, address, name string) (*distribution.Update, error) {
	update := new(distribution.Update)
	path := PathResource + "?name=" + url.QueryEscape(name)
	if err := c.call(ctx, http.MethodGet, address, path, nil, update, distribution.MaxResponseBytes); err != nil {
		return nil, err
	}
	if err := update.Validate(); err != nil {
		return nil, fmt.Errorf("%s: resource: %w", address, err)
	}
	return update, nil
}

// Stats reads the counters of a source or relay.
func (c *Client) Stats(ctx context.Context, address string) (*distribution.Stats, error) {
	stats := new(distribution.Stats)
	return stats, c.call(ctx, http.MethodGet, address, PathStats, nil, stats, distribution.MaxRequestBytes)
}

// Healthy asks whether a source or relay answers; nil: it does.
func (c *Client) Healthy(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodGet, address, PathHealth, nil, nil, maxErrorBytes)
}

// Ready asks whether a source or relay answers and hears from the source; nil: it does.
func (c *Client) Ready(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodGet, address, PathReady, nil, nil, maxErrorBytes)
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any, most int64) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: request: %w", address, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("%s: request: %w", address, err)
	}
	req.Header["User-Agent"] = []string{""} // none
	resp, err := c.http.Do(req)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return fmt.Errorf("%s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %w", address, failure(resp))
	}
	if out == nil {
		return nil
	}
	return decode(resp.Body, out, address, most)
}

func decode(body io.Reader, out any, address string, most int64) error {
	data, err := io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return fmt.Errorf("%s: answer: %w", address, err)
	}
	if int64(len(data)) > most {
		return fmt.Errorf("%s: answer: more than %d bytes found, that many at most expected", address, most)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: answer: %w", address, err)
	}
	return nil
}

// failure is the error that an answer stands for.
func failure(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	reason := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusGone:
		return distribution.ErrUnknownSession
	case http.StatusConflict:
		conflict := new(distribution.ConflictError)
		if err := json.Unmarshal(text, conflict); err == nil {
			return conflict
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &OverloadedError{retryAfter(resp.Header.Get("Retry-After")), fmt.Sprintf("status %d: %.200s", resp.StatusCode, reason)}
	}
	return fmt.Errorf("status %d: %.200s", resp.StatusCode, reason)
}

// retryAfter reads a header; 0: it says nothing that makes sense.
func retryAfter(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil || seconds > uint64(maxRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
