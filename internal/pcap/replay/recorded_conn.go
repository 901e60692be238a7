package replay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"fernlanding/internal/pcap/write"
)

const copyBufferSize = 32 << 10

// recordedConn is a connection whose bytes are written to a capture.
type recordedConn struct {
	net.Conn
	capture *write.Conn // may be nil
}

// Read implements io.Reader.
func (c *recordedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.capture != nil {
		c.capture.Data(1, b[:n], time.Now(), "")
	}
	return n, err
}

// closeAndRecord closes the connection, and records its close.
func (c *recordedConn) closeAndRecord() {
	_ = c.Close() // the results say what was sent and received
	if c.capture != nil {
		c.capture.Close(false, 0, time.Now())
	}
}

// writeRequest writes a step's request until a deadline. The capture has its ids as a comment.
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
	defer func() { _ = body.Close() }() // it is only read: nothing can be lost
	return c.writeBody(body)
}

// writeBody writes a body to its end.
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

// write writes bytes and records what was written of them.
func (c *recordedConn) write(b []byte, comment string) error {
	n, err := c.Write(b)
	if n > 0 && c.capture != nil {
		c.capture.Data(0, b[:n], time.Now(), comment)
	}
	return err
}
