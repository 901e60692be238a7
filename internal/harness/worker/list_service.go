package worker

import (
	"context"
	"fmt"
	"net"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/standin"
)

// listService is a stand-in list service.
type listService struct {
	*standin.Discovery
}

// newListService starts a list service.
func newListService(spec Spec, r recorder) (runner, Hello, error) {
	discovery, err := standin.NewDiscoveryWith(standin.DiscoveryConfig{
		Rate:       spec.SnapshotRate,
		QueueSize:  spec.SnapshotQueue,
		RetryAfter: spec.RetryAfter,
		// The list has the port of each member's relay. A caller reaches the relay on the caller's
		// own address.
		Address: func(caller string, member standin.Member) string {
			_, port, _ := strings.Cut(member.Address, ":")
			return net.JoinHostPort(caller, port)
		},
		StartedMs: func(caller string, member standin.Member) int64 {
			if member.StartedMs == 0 {
				return 0
			}
			return member.StartedMs + spec.ClockSkews[caller]
		},
		OnCallEnd: func(call standin.DiscoveryCall) { r.record(pollEvent(spec, r.clock, call)) },
	})
	if err != nil {
		return nil, Hello{}, err
	}
	return listService{discovery}, Hello{Address: discovery.Addr()}, nil
}

// pollEvent returns the event for an answered poll.
func pollEvent(spec Spec, clock history.Clock, call standin.DiscoveryCall) history.Event {
	host, _, _ := net.SplitHostPort(call.Caller) // the address of a TCP connection always has a port
	e := history.Event{
		At:     clock.Now(),
		Kind:   history.ListPolled,
		Who:    spec.Name,
		To:     spec.SidecarNames[host],
		Conn:   call.Caller,
		N:      call.From,
		Status: call.Status,
		Took:   clock.Now() - clock.At(call.StartTime),
		Bytes:  call.BytesWritten,
	}
	for _, member := range call.Members {
		mark := ""
		if member.Status == "SERVING" {
			mark = history.ServingMark
		}
		e.Names = append(e.Names, mark+member.Name)
	}
	switch {
	case call.CallerDisconnected:
		e.Reason = history.CallerLeft
	case call.IsSnapshot:
		e.Reason = history.Snapshot
	}
	return e
}

// execute implements runner.
func (l listService) execute(_ context.Context, command Command) error {
	switch command.Do {
	case DoMode:
		mode, ok := standin.DiscoveryFaultByName(command.Mode)
		if !ok {
			return fmt.Errorf("unknown mode %q", command.Mode)
		}
		l.SetFault(mode)
	case DoMembers:
		l.update(command.Members)
	default:
		return errUnknownCommand
	}
	return nil
}

// update puts changed members into the list and removes members with status DELETED.
func (l listService) update(changed []standin.Member) {
	var put []standin.Member
	var deleted []string
	for _, member := range changed {
		if member.Status == "DELETED" {
			deleted = append(deleted, member.Name)
		} else {
			put = append(put, member)
		}
	}
	if len(put) > 0 {
		l.Put(put...)
	}
	if len(deleted) > 0 {
		l.Delete(deleted...)
	}
}

// close implements runner.
func (l listService) close() { l.Close() }
