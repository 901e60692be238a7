package core

import (
	"context"
	"fernlanding/logic"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// lines is a log handler that hands on what is logged as text.
type lines chan string

func (l lines) Enabled(context.Context, slog.Level) bool { return true }
func (l lines) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l lines) WithGroup(string) slog.Handler            { return l }
func (l lines) Handle(_ context.Context, r slog.Record) error {
	text := r.Message
	r.Attrs(func(a slog.Attr) bool { text += " " + a.String(); return true })
	select {
	case l <- text:
	default:
	}
	return nil
}

// A trace tells counts and refusals by cause, twice a second, and ends by itself; another may follow it.
func TestATraceTellsWhatRefuses(t *testing.T) {
	p := startPool(t, newScripted(func(*Attempt) AttemptResult {
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200}}
	}))
	got := make(lines, 100)
	p.play(func() { p.log = slog.New(got) })
	for range 2 {
		p.Trace(2 * traceEvery)
		if ans := p.Do(newRequest(p, "late", 0, time.Microsecond)); ans.Verdict != Shed {
			t.Fatalf("got %+v", ans)
		}
		if line := wait(t, "trace", got); !strings.Contains(line, "tier=0 of ") || !strings.Contains(line, "refused=time left 1") {
			t.Errorf("got %q", line)
		}
		for p.traceOn() {
			wait(t, "trace or its end", time.After(traceEvery))
		}
		for len(got) > 0 {
			if line := <-got; strings.Contains(line, "time left") {
				t.Errorf("a refusal was told twice: %q", line)
			}
		}
	}
	p.Trace(time.Hour)
	p.mu.Lock()
	if left := time.Until(p.tracer.until); left > MaxTraceDuration {
		t.Errorf("a trace of %v", left)
	}
	p.mu.Unlock()
}

func (p *Pool) traceOn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().After(p.tracer.until.Add(traceEvery))
}
