package replay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"fernlanding/internal/pcap/write"
)

const copyBufferSize = 32 << 10 // bytes

// recordedConn is a connection whose data is also written to a capture.
type recordedConn struct {
	net.Conn
	capture *write.Conn // nil means no capture
}

// Read implements io.Reader.
func (c *recordedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.capture != nil {
		c.capture.Data(1, b[:n], time.Now(), "")
	}
	return n, err
}

// closeAndRecord closes the connection and records the close in the capture.
func (c *recordedConn) closeAndRecord() {
	_ = c.Close() // the results already state what was sent and received
	if c.capture != nil {
		c.capture.Close(false, 0, time.Now())
	}
}

// writeRequest writes the request of a step before a deadline. The capture contains the IDs of the
// request as a comment.
func (c *recordedConn) writeRequest(step *Step, deadline time.Time) error {
	_ = c.SetWriteDeadline(deadline) // fails only on a closed connection, as the write then does
	comment := ""
	if step.OldID != "" || step.NewID != "" {
		comment = fmt.Sprintf("request %s, captured as %s", step.NewID, step.OldID)
	}
	if err := c.write(step.Head, comment); err != nil {
		return err
	}
	if step.Redacted {
		return c.write(step.RedactedBody, "")
	}
	body, err := step.Body.Open()
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }() // read only: a failed close loses no data
	return c.writeBody(body)
}

// writeBody writes a complete body.
func (c *recordedConn) writeBody(body io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if err := c.write(buffer[:n], ""); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// write writes bytes and records the bytes that were written.
func (c *recordedConn) write(b []byte, comment string) error {
	n, err := c.Write(b)
	if n > 0 && c.capture != nil {
		c.capture.Data(0, b[:n], time.Now(), comment)
	}
	return err
}
