package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"fernlanding/internal/pcap/http"

	"github.com/urfave/cli/v3"
)

// requestLine is what pcap requests prints for an exchange.
type requestLine struct {
	Flow           int64   `json:"flow"`
	Number         int     `json:"number"`
	Packet         int64   `json:"packet"`
	Offset         float64 `json:"at_s"` // seconds since the first printed request
	From           string  `json:"from"`
	Method         string  `json:"method"`
	Target         string  `json:"target"`
	Class          string  `json:"class,omitempty"`
	ID             string  `json:"request_id,omitempty"`
	RequestBytes   int64   `json:"body_bytes"`
	RequestDigest  string  `json:"body_sha256"`
	Status         int     `json:"status,omitempty"`  // 0: no response was seen
	Latency        float64 `json:"took_ms,omitempty"` // milliseconds
	ResponseBytes  int64   `json:"answer_bytes,omitempty"`
	ResponseDigest string  `json:"answer_sha256,omitempty"`
}

// newRequestLine returns the line of an exchange that has a request. newRequestLine returns an
// error if a body cannot be read.
func newRequestLine(e *http.Exchange, firstRequest time.Time) (*requestLine, error) {
	request := e.Request
	line := &requestLine{
		Flow:         e.Flow.ID,
		Number:       e.Number,
		Packet:       request.FirstPacket,
		Offset:       request.Began.Sub(firstRequest).Seconds(),
		From:         e.Flow.Addresses[0].String(),
		Method:       request.Method,
		Target:       request.Target,
		Class:        request.FieldValue("Request-Class"),
		ID:           request.FieldValue("Request-Id"),
		RequestBytes: request.Body.Size,
	}
	var err error
	line.RequestDigest, err = bodyDigest(request.Body)
	if err != nil || e.Response == nil {
		return line, err
	}
	response := e.Response
	line.Status = response.StatusCode
	line.Latency = float64(response.Ended.Sub(request.Ended).Microseconds()) / 1000
	line.ResponseBytes = response.Body.Size
	line.ResponseDigest, err = bodyDigest(response.Body)
	return line, err
}

// String returns the line as text.
func (l *requestLine) String() string {
	response := "no answer"
	if l.Status > 0 {
		response = fmt.Sprintf("%d in %.1f ms, %d bytes %.12s", l.Status, l.Latency, l.ResponseBytes, l.ResponseDigest)
	}
	return fmt.Sprintf("%10.4f flow %d.%d %s %s, %d bytes %.12s: %s",
		l.Offset, l.Flow, l.Number, l.Method, l.Target, l.RequestBytes, l.RequestDigest, response)
}

// bodyDigest returns the SHA-256 of a body in hexadecimal digits.
func bodyDigest(body http.Body) (string, error) {
	r, err := body.Open()
	if err != nil {
		return "", err
	}
	hash := sha256.New()
	_, err = io.Copy(hash, r)
	return hex.EncodeToString(hash.Sum(nil)), errors.Join(err, r.Close())
}

// pcapRequests prints a line for each request of a capture while reading the capture.
func pcapRequests(ctx context.Context, c *cli.Command) error {
	collected, out, errOut := newCollector(), c.Root().Writer, c.Root().ErrWriter
	var firstRequest time.Time
	encoder := json.NewEncoder(out)
	collected.onExchange = func(e *http.Exchange) error {
		if e.Request == nil {
			return nil // a response without a request is already counted and reported as a fault
		}
		if firstRequest.IsZero() {
			firstRequest = e.Request.Began
		}
		line, err := newRequestLine(e, firstRequest)
		if err != nil {
			return err
		}
		if c.Bool("json") {
			return encoder.Encode(line)
		}
		_, err = fmt.Fprintln(out, line)
		return err
	}
	collected.onFault = func(fault faultLine) { writeReport(errOut, fault.String()+"\n") }
	if _, err := readCapture(ctx, c, collected); err != nil {
		return err
	}
	return collected.exitError()
}
