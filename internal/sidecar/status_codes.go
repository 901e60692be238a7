package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// statusCodePool is a pool that responds with the status codes that its service configures, unless
// a backend has responded.
type statusCodePool struct {
	front.Pool
	codes config.StatusCodes // no code is 0
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
		// The request is invalid, its client has disconnected, or another pool responds.
	default:
		answer.Response = &core.Response{StatusCode: p.codes.Failed}
	}
	return answer
}
