package follow

import (
	"context"
	"errors"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/sleep"
)

const (
	// maxReportStatuses is the maximum number of statuses in one report.
	maxReportStatuses = 512
	// reportRetryDelay is the delay before a failed report is sent again.
	reportRetryDelay = 200 * time.Millisecond
)

// Report reports statuses of the followers behind a relay to its upstream. Only the latest status
// of each resource is sent. Statuses of resources without a subscription are ignored.
func (f *Follower) Report(statuses []distribution.ResourceStatus) {
	f.mu.Lock()
	for i := range statuses {
		name := statuses[i].Resource
		if f.subscriptions[name] == nil {
			continue // the upstream would ignore it
		}
		f.statuses[name] = &statuses[i]
		f.unsentStatuses[name] = true
	}
	f.mu.Unlock()
	f.wakeReports()
}

// wakeReports makes sendReports send pending reports.
func (f *Follower) wakeReports() {
	select {
	case f.reportPending <- struct{}{}:
	default:
	}
}

// sendReports sends the reports that can't wait for the next read, until the context ends. These
// are statuses, newly followed resources and resources that are no longer followed.
func (f *Follower) sendReports(ctx context.Context) {
	for {
		select {
		case <-f.reportPending:
		case <-ctx.Done():
			return
		}
		if !f.sendPending(ctx) {
			return
		}
	}
}

// sendPending sends reports until none is pending. It returns false if the context has ended.
func (f *Follower) sendPending(ctx context.Context) bool {
	for {
		more, err := f.sendReport(ctx)
		if err != nil && !sleep.For(ctx, reportRetryDelay) {
			return false
		}
		if !more {
			return true
		}
	}
}

// sendReport sends one report if there is anything that the session has not been informed about,
// and reports whether another report has to be sent.
func (f *Follower) sendReport(ctx context.Context) (more bool, err error) {
	f.sendMu.Lock()
	defer f.sendMu.Unlock()
	req := f.composeReport()
	if req == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err = f.transport.Follow(ctx, req.address, &req.FollowRequest)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.stats.MessagesIn++
		return len(f.unsentStatuses) > 0, nil
	}
	if f.sessionID != req.Session {
		return false, err // everything is marked as unsent for the next session
	}
	f.markUnsent(req)
	return !errors.Is(err, distribution.ErrUnknownSession), err
}

// markUnsent marks the content of a failed request as unsent. The caller holds f.mu.
func (f *Follower) markUnsent(req *request) {
	for i := range req.Positions {
		f.unsentPositions[req.Positions[i].Resource] = true
	}
	for _, name := range req.Unfollowed {
		if f.subscriptions[name] == nil {
			f.unsentUnfollowed[name] = true
		}
	}
	for i := range req.Statuses {
		f.unsentStatuses[req.Statuses[i].Resource] = true
	}
}

// composeReport returns the next report, or nil if there is nothing to report.
func (f *Follower) composeReport() *request {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessionID == "" {
		return nil
	}
	req := f.newRequest(f.relay)
	req.Positions, req.Unfollowed = f.takeUnsentPositions()
	for name := range f.unsentStatuses {
		if len(req.Statuses) == maxReportStatuses {
			break
		}
		delete(f.unsentStatuses, name)
		if status := f.statuses[name]; status != nil && f.subscriptions[name] != nil {
			req.Statuses = append(req.Statuses, *status)
		}
	}
	if len(req.Positions) == 0 && len(req.Unfollowed) == 0 && len(req.Statuses) == 0 {
		return nil
	}
	f.stats.MessagesOut++
	return req
}

// newRequest returns an empty request of the current session. The caller holds f.mu.
func (f *Follower) newRequest(address string) *request {
	return &request{
		address:       address,
		FollowRequest: distribution.FollowRequest{Follower: f.cfg.Name, Kind: f.cfg.Kind, Session: f.sessionID},
	}
}
