package sidecar

import (
	"cmp"
	"net/http"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// coded is a pool whose own answers have the codes that its service states.
type coded struct {
	front.Pool
	codes config.Codes
}

// Do implements front.Pool.
func (c coded) Do(r *core.Request) core.Answer {
	ans := c.Pool.Do(r)
	if ans.Reply != nil {
		return ans
	}
	switch ans.Verdict {
	case core.Refused:
		ans.Reply = &core.Reply{Code: cmp.Or(c.codes.Refused, http.StatusServiceUnavailable)}
	case core.Expired:
		ans.Reply = &core.Reply{Code: cmp.Or(c.codes.Expired, http.StatusGatewayTimeout)}
	case core.Rejected, core.Aborted, core.NotTaken: // the client's fault, nobody's to answer, or another pool's
	default:
		ans.Reply = &core.Reply{Code: cmp.Or(c.codes.Failed, http.StatusBadGateway)}
	}
	return ans
}
