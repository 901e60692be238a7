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
	if ans.Reply != nil {
		return ans
	}
	switch ans.Verdict {
	case core.Refused:
		ans.Reply = &core.Reply{Code: c.codes.Refused}
	case core.Expired:
		ans.Reply = &core.Reply{Code: c.codes.Expired}
	case core.Rejected, core.Aborted, core.NotTaken: // the client's fault, nobody's to answer, or another pool's
	default:
		ans.Reply = &core.Reply{Code: c.codes.Failed}
	}
	return ans
}
