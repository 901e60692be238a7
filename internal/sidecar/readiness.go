package sidecar

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/start/record"
)

const (
	notReadyLogInterval = 5 * time.Second       // between log lines with the reason why the sidecar is not ready
	readyPollInterval   = 50 * time.Millisecond // between readiness checks
)

// isHealthy reports whether the sidecar can serve: at least one service has an endpoint list, or
// there are no services. A service without a list does not make the sidecar unhealthy, since the
// other services can serve.
func (s *Sidecar) isHealthy() bool {
	services := s.active.Load().services
	for _, svc := range services {
		if svc.isReady() {
			return true
		}
	}
	return len(services) == 0
}

// WaitReady waits until every service has an endpoint list. It returns an error after timeout, or
// when the context ends.
func (s *Sidecar) WaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for name, svc := range s.active.Load().services {
		select {
		case <-svc.pool.Ready():
		case <-ctx.Done():
			return fmt.Errorf("service %s has no endpoint list: %w", name, ctx.Err())
		}
	}
	return nil
}

// logStartup logs when the sidecar becomes ready. Until then it logs periodically why the sidecar
// is not ready. It clears the record of starts after the sidecar has run for record.StableAfter.
func (s *Sidecar) logStartup(ctx context.Context) {
	began := time.Now()
	lastLogged := began
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	stable := time.NewTimer(record.StableAfter)
	defer stable.Stop()
	for {
		select {
		case now := <-poll.C:
			elapsed := now.Sub(began).Round(time.Millisecond)
			if s.isHealthy() {
				poll.Stop()
				s.log.Info("ready", "elapsed", elapsed, "recent_starts", s.shared.recentStarts)
			} else if now.Sub(lastLogged) >= s.notReadyLogInterval {
				lastLogged = now
				s.log.Warn(
					"not ready", "elapsed", elapsed, "services_without_list", s.active.Load().servicesWithoutList(),
					"recent_starts", s.shared.recentStarts,
				)
			}
		case <-stable.C:
			s.clearStartRecord()
		case <-ctx.Done():
			return
		}
	}
}

// clearStartRecord clears the record of starts, if there is one.
func (s *Sidecar) clearStartRecord() {
	if s.startRecord == nil {
		return
	}
	if err := s.startRecord.Clear(); err != nil {
		s.log.Warn("start record not cleared", "error", err)
	}
}
