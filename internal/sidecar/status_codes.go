package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// statusCodePool is a pool whose own answers have the status codes that its service configures.
type statusCodePool struct {
	front.Pool
	codes config.Codes // complete: none is 0
}

// Do implements front.Pool.
func (p statusCodePool) Do(r *core.Request) core.Answer {
	answer := p.Pool.Do(r)
	if answer.Response != nil {
		return answer
	}
	switch answer.Verdict {
	case core.Shed:
		answer.Response = &core.Response{StatusCode: p.codes.Shed}
	case core.Expired:
		answer.Response = &core.Response{StatusCode: p.codes.Expired}
	case core.Rejected, core.Canceled, core.NotAdmitted:
		// The client's fault, an answer that nobody waits for, or another pool's to give.
	default:
		answer.Response = &core.Response{StatusCode: p.codes.Failed}
	}
	return answer
}
