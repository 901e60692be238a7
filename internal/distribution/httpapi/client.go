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
	dialTimeout       = time.Second
	clientIdleTimeout = 90 * time.Second
	maxIdleConns      = 2       // idle connections per relay
	bufferBytes       = 2 << 10 // size of the read and of the write buffer of a connection
	maxErrorBytes     = 512     // size of the body of an error response, or of a small response
	// maxRetryAfter is the longest Retry-After that the client accepts. It ignores a longer one.
	maxRetryAfter = time.Hour
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// defaultDial returns the DialFunc of a client without a configured one.
func defaultDial() DialFunc { return (&net.Dialer{KeepAlive: -1}).DialContext }

// Client calls sources and relays. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens connections with dial. A nil dial means TCP without
// keep-alive probes, because the timeout of a read detects a broken connection earlier.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = defaultDial()
	}
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         bounded,
			DisableCompression:  true,
			IdleConnTimeout:     clientIdleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			MaxIdleConnsPerHost: maxIdleConns,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Follow sends a long poll and waits for its response until the context ends. Its errors include
// distribution.ErrUnknownSession and *OverloadedError.
func (c *Client) Follow(
	ctx context.Context, address string, req *distribution.FollowRequest,
) (*distribution.FollowResponse, error) {
	resp := new(distribution.FollowResponse)
	err := c.call(ctx, http.MethodPost, address, PathFollow, req, resp, distribution.MaxResponseBytes)
	if err != nil {
		return nil, err
	}
	if err := resp.Validate(); err != nil {
		return nil, fmt.Errorf("%s: response: %w", address, err)
	}
	return resp, nil
}

// Put writes to a resource at the source and returns the new version of the resource. Its errors
// include *distribution.ConflictError and *OverloadedError.
func (c *Client) Put(ctx context.Context, address string, req *distribution.PutRequest) (distribution.Version, error) {
	var resp distribution.PutResponse
	err := c.call(ctx, http.MethodPost, address, PathPut, req, &resp, maxErrorBytes)
	return resp.Version, err
}

// Status returns the in-force status of a resource at the proxies behind a source or relay.
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

// Resource returns a snapshot of a resource.
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

// Stats returns the metrics of a source or relay.
func (c *Client) Stats(ctx context.Context, address string) (*distribution.Stats, error) {
	stats := new(distribution.Stats)
	return stats, c.call(ctx, http.MethodGet, address, PathStats, nil, stats, distribution.MaxRequestBytes)
}

// Healthy returns nil if a source or relay responds.
func (c *Client) Healthy(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodGet, address, PathHealth, nil, nil, maxErrorBytes)
}

// Ready returns nil if a source or relay responds and is not disconnected from the source.
func (c *Client) Ready(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodGet, address, PathReady, nil, nil, maxErrorBytes)
}

// call sends a request with in as its JSON body and decodes the body of the response, of up to
// maxBytes, into out. A nil in means no body, and a nil out ignores the body of the response. Error
// texts begin with the address.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any, maxBytes int64) error {
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
	req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	resp, err := c.http.Do(req)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err // without the URL, because the error text names the address already
		}
		return fmt.Errorf("%s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }() // the needed part of the body has been read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %w", address, responseError(resp))
	}
	if out == nil {
		return nil
	}
	return decodeBody(resp.Body, out, address, maxBytes)
}

// decodeBody decodes the JSON body of a response of up to maxBytes.
func decodeBody(body io.Reader, out any, address string, maxBytes int64) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return fmt.Errorf("%s: response: %w", address, err)
	}
	if int64(len(data)) > maxBytes {
		return fmt.Errorf("%s: response body exceeds the limit of %d bytes", address, maxBytes)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: response: %w", address, err)
	}
	return nil
}

// responseError returns the error that corresponds to a response with an error status.
func responseError(resp *http.Response) error {
	// A read error is ignored: the status determines the error, and the text is only its reason.
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	reason := fmt.Sprintf("status %d: %.200s", resp.StatusCode, strings.TrimSpace(string(text)))
	switch resp.StatusCode {
	case http.StatusGone:
		return distribution.ErrUnknownSession
	case http.StatusConflict:
		conflict := new(distribution.ConflictError)
		if err := json.Unmarshal(text, conflict); err == nil {
			return conflict
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &OverloadedError{RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After")), Reason: reason}
	}
	return errors.New(reason)
}

// parseRetryAfter parses a Retry-After header in seconds. It returns 0 if the header is missing,
// invalid or longer than maxRetryAfter.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil || seconds > uint64(maxRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
