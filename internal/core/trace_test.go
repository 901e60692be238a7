package core

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fernlanding/logic"
)

// logLines is a slog.Handler that sends each record as text to a channel. It drops the record if
// the channel is full.
type logLines chan string

func (l logLines) Enabled(context.Context, slog.Level) bool { return true }
func (l logLines) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l logLines) WithGroup(string) slog.Handler            { return l }
func (l logLines) Handle(_ context.Context, r slog.Record) error {
	text := r.Message
	r.Attrs(func(a slog.Attr) bool { text += " " + a.String(); return true })
	select {
	case l <- text:
	default:
	}
	return nil
}

// A trace logs limits and shed requests by cause twice a second and ends after its duration.
// Another trace may follow. No trace is longer than MaxTraceDuration.
func TestTraceLogsShedCauses(t *testing.T) {
	p := startPool(t, newScriptedUpstream(func(*Attempt) AttemptResult {
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200}}
	}))
	got := make(logLines, 100)
	p.runEvent(func() { p.log = slog.New(got) })
	for range 2 {
		p.Trace(2 * traceInterval)
		if ans := p.Do(newRequest(p, "late", 0, time.Microsecond)); ans.Verdict != Shed {
			t.Fatalf("got %+v, want verdict Shed", ans)
		}
		line := receive(t, "trace", got)
		if !strings.Contains(line, "tier=0 of ") || !strings.Contains(line, "shed=time left 1") {
			t.Errorf("got trace line %q, want the tier and the shed request", line)
		}
		for p.isTracing() {
			receive(t, "trace or its end", time.After(traceInterval))
		}
		for len(got) > 0 {
			if line := <-got; strings.Contains(line, "time left") {
				t.Errorf("shed request was logged twice: %q", line)
			}
		}
	}
	p.Trace(time.Hour)
	p.mu.Lock()
	if left := time.Until(p.tracer.until); left > MaxTraceDuration {
		t.Errorf("trace lasts %v, want at most %v", left, MaxTraceDuration)
	}
	p.mu.Unlock()
}

// isTracing reports whether a trace may still log.
func (p *Pool) isTracing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().After(p.tracer.until.Add(traceInterval))
}
