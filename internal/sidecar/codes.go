package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// coded is a pool whose own answers have the codes that its service states.
type coded struct {
	front.Pool
	codes config.Codes // all of them
}

// Do implements front.Pool.
func (c coded) Do(r *core.Request) core.Answer {
	ans := c.Pool.Do(r)
	if ans.Response != nil {
		return ans
	}
	switch ans.Verdict {
	case core.Shed:
		ans.Response = &core.Response{StatusCode: c.codes.Shed}
	case core.Expired:
		ans.Response = &core.Response{StatusCode: c.codes.Expired}
	case core.Rejected, core.Canceled, core.NotAdmitted: // the client's fault, nobody's to answer, or another pool's
	default:
		ans.Response = &core.Response{StatusCode: c.codes.Failed}
	}
	return ans
}
