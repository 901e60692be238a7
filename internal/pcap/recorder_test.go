package pcap

import (
	"bytes"
	"context"
	"testing"

	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
)

// recorder is a Sink that records what is reported to it.
type recorder struct {
	exchanges     []*http.Exchange
	bodies        map[*http.Message]string
	streamFaults  map[int64][]http.Fault // by flow ID
	segmentFaults map[int64][]flow.Fault // by flow ID
}

func newRecorder() *recorder {
	return &recorder{
		bodies:        map[*http.Message]string{},
		streamFaults:  map[int64][]http.Fault{},
		segmentFaults: map[int64][]flow.Fault{},
	}
}

func (r *recorder) Exchange(e *http.Exchange) {
	r.exchanges = append(r.exchanges, e)
	for _, m := range []*http.Message{e.Request, e.Response} {
		if m == nil {
			continue
		}
		body, err := m.Body.Bytes()
		if err != nil {
			panic(err)
		}
		r.bodies[m] = string(body)
	}
}

func (r *recorder) StreamFault(f *flow.Flow, _ flow.Direction, fault http.Fault) {
	r.streamFaults[f.ID] = append(r.streamFaults[f.ID], fault)
}

func (r *recorder) SegmentFault(fault flow.Fault) {
	r.segmentFaults[fault.Flow.ID] = append(r.segmentFaults[fault.Flow.ID], fault)
}

func (r *recorder) FlowEnded(*flow.Flow, flow.EndReason) {}

// faultCount returns the number of faults of a flow.
func (r *recorder) faultCount(flowID int64) int {
	return len(r.streamFaults[flowID]) + len(r.segmentFaults[flowID])
}

// readCapture reads a capture and checks the sums of its summary.
func readCapture(t *testing.T, data []byte) (*recorder, *Summary) {
	t.Helper()
	sink := newRecorder()
	summary, err := Read(context.Background(), bytes.NewReader(data), Options{}, sink)
	if err != nil {
		t.Fatal(err)
	}
	if err := summary.Check(); err != nil {
		t.Error(err)
	}
	return sink, summary
}
