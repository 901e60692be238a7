package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"fernlanding/logic"
)

const (
	bufferBytes = 1 << 20 // size of the input buffer and of the output buffer
	maxLists    = 16      // numbers of endpoint lists are 0 to maxLists-1
)

// endpointList is a numbered endpoint list.
type endpointList struct {
	endpoints []logic.Endpoint
	defined   bool
}

// server applies batches of events to the instances of one process.
type server struct {
	now       int64 // time of the batch in microseconds
	inBatch   bool
	instances map[string]*instance
	lists     [maxLists]endpointList
	out       *bufio.Writer
	encoder   *json.Encoder // writes to out
}

// newServer returns a server without instances.
func newServer(out io.Writer) *server {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	return &server{instances: map[string]*instance{}, out: buffered, encoder: encoder}
}

// serve applies batches until the input ends. It returns an error at the first line that is not
// valid.
func serve(in io.Reader, out io.Writer) error {
	s := newServer(out)
	reader := bufio.NewReaderSize(in, bufferBytes)
	for number := 1; ; number++ {
		line, readErr := readLine(reader)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			if s.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return s.out.Flush()
		}
		if readErr != nil {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
	}
}

// readLine returns the next line, of any length. The line is valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	start := bytes.Clone(line)
	rest, err := r.ReadBytes('\n')
	return append(start, rest...), err
}

// handleLine applies one line of input.
func (s *server) handleLine(line []byte) error {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return fmt.Errorf("invalid event: %w", err)
	}
	if e.Mark == nil && !s.inBatch {
		return errors.New("event outside a batch: missing mark")
	}
	switch {
	case e.Mark != nil:
		return s.beginBatch(e.Mark)
	case e.EndOfBatch != nil:
		return s.endBatch()
	case e.EndpointList != nil:
		return s.defineList(e.EndpointList)
	case e.StartInstance != nil:
		return s.startInstance(e.StartInstance)
	case e.StopInstance != nil:
		return s.stopInstance(e.StopInstance)
	}
	handled, err := s.handleInstanceEvent(&e)
	if !handled {
		return fmt.Errorf("unknown event: %.80s", bytes.TrimSpace(line))
	}
	return err
}

// handleInstanceEvent applies an event of one instance. It reports whether e is such an event.
func (s *server) handleInstanceEvent(e *event) (handled bool, err error) {
	switch {
	case e.UpdateEndpoints != nil:
		return true, s.updateEndpoints(e.UpdateEndpoints)
	case e.Request != nil:
		return true, s.request(e.Request)
	case e.Outcome != nil:
		return true, s.outcome(e.Outcome)
	case e.Cancel != nil:
		return true, s.cancel(e.Cancel)
	case e.Timer != nil:
		return true, s.timer(e.Timer)
	case e.ResponseStarted != nil:
		return true, s.responseStarted(e.ResponseStarted)
	case e.ProbeDone != nil:
		_, err := s.findInstance("probe_done", e.ProbeDone.Instance)
		return true, err
	case e.PeerMessage != nil:
		_, err := s.findInstance("message", e.PeerMessage.Instance)
		return true, err
	}
	return false, nil
}

// beginBatch starts a batch and sets its time.
func (s *server) beginBatch(e *markEvent) error {
	if e.Time == nil {
		return eventErrorf("mark", "missing time_us")
	}
	s.now, s.inBatch = *e.Time, true
	return nil
}

// endBatch ends a batch: it writes done and flushes the output.
func (s *server) endBatch() error {
	s.inBatch = false
	if err := s.encoder.Encode(action{EndOfBatch: &struct{}{}}); err != nil {
		return err
	}
	return s.out.Flush()
}

// defineList sets the endpoint list of a number for the updates that follow.
func (s *server) defineList(e *endpointListEvent) error {
	if e.Number == nil || e.Endpoints == nil {
		return eventErrorf("ledger", "missing roster_id or elements")
	}
	if *e.Number < 0 || *e.Number >= maxLists {
		return eventErrorf("ledger", "roster_id %d out of range: allowed are 0 to %d", *e.Number, maxLists-1)
	}
	endpoints, err := e.toEndpoints()
	if err != nil {
		return eventErrorf("ledger", "%w", err)
	}
	s.lists[*e.Number] = endpointList{endpoints: endpoints, defined: true}
	return nil
}
