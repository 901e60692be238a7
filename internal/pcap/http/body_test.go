package http

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/flow"
)

// fullStore is a Store that has no space.
type fullStore struct{}

func (fullStore) New() (StoredBody, error) { return nil, errors.New("disk is full") }

// A body that cannot be stored is reported as a fault, and the messages before it are still
// reported.
func TestBodyStoreErrorIsReported(t *testing.T) {
	sink := &recorder{}
	reader := NewReader(Limits{Memory: 10}, fullStore{}, sink)
	f := &flow.Flow{ID: 1}
	reader.Opened(f)
	large := "POST /b HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + strings.Repeat("x", 20)
	reader.Data(f, 0, 0, []byte(post+large), 1, time.Time{})
	reader.Finished(f, 0)
	reader.Ended(f, flow.Closed)
	all := strings.Join(sink.lines, "\n")
	if !strings.Contains(all, "too-large 0 at 42: 60") || !strings.Contains(all, `POST /b "abc"`) {
		t.Errorf("got %q", sink.lines)
	}
}

func TestBodyInMemoryCanBeReopened(t *testing.T) {
	buffer := newBodyBuffer(nil, 10)
	if err := buffer.append([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	body := buffer.body()
	for range 2 {
		r, err := body.Open()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(r); err != nil || string(got) != "abc" || body.Size != 3 {
			t.Errorf("got %q, error %v", got, err)
		}
	}
	if err := body.Remove(); err != nil {
		t.Error(err)
	}
}
