package worker

import (
	"fmt"
	"net"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/standin"
)

// listService is one list service.
type listService struct {
	*standin.Discovery
}

func newLists(s Spec, t recorder) (runner, Hello, error) {
	d, err := standin.NewDiscoveryWith(standin.DiscoveryConfig{
		Rate: s.SnapshotRate, Queue: s.SnapshotQueue, RetryAfter: s.RetryAfter,
		// Members are listed by the port of their relay; each caller reaches it at its own place.
		Address: func(caller string, m standin.Member) string {
			_, port, _ := strings.Cut(m.Address, ":")
			return net.JoinHostPort(caller, port)
		},
		Since: func(caller string, m standin.Member) int64 {
			if m.SinceMs == 0 {
				return 0
			}
			return m.SinceMs + s.ClockSkews[caller]
		},
		Report: func(c standin.DiscoveryCall) {
			host, _, _ := net.SplitHostPort(c.Caller)
			e := history.Event{
				At: t.clock.Now(), Kind: history.ListPolled, Who: s.Name, To: s.SidecarNames[host], Conn: c.Caller, N: c.From, Status: c.Status,
				Took: t.clock.Now() - t.clock.At(c.Began), Bytes: c.BytesWritten,
			}
			for _, m := range c.Members {
				mark := ""
				if m.Status == "SERVING" {
					mark = history.ServingMark
				}
				e.Names = append(e.Names, mark+m.Name)
			}
			switch {
			case c.CallerLeft:
				e.Why = history.CallerLeft
			case c.Full:
				e.Why = history.Snapshot
			}
			t.record(e)
		},
	})
	if err != nil {
		return nil, Hello{}, err
	}
	return listService{d}, Hello{Address: d.Addr()}, nil
}

func (l listService) execute(c Command) error {
	switch c.Do {
	case DoMode:
		m, ok := standin.ModeOf(c.Mode)
		if !ok {
			return fmt.Errorf("unknown mode %q", c.Mode)
		}
		l.SetMode(m)
	case DoMembers:
		var put []standin.Member
		var gone []string
		for _, m := range c.Members {
			if m.Status == "DELETED" {
				gone = append(gone, m.Name)
			} else {
				put = append(put, m)
			}
		}
		if len(put) > 0 {
			l.Put(put...)
		}
		if len(gone) > 0 {
			l.Delete(gone...)
		}
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (l listService) close() { l.Close() }
