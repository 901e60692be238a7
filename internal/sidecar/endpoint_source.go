package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/cache"
	"fernlanding/internal/membership/catalog"
	"fernlanding/internal/membership/consul"
	"fernlanding/internal/membership/file"
	"fernlanding/internal/membership/relayed"

	startup "fernlanding/internal/start"
)

const (
	maxTokenBytes      = 4 << 10 // limit of a registry's token
	unreachableDivisor = 8       // a newer list is urgent if at least 1/8 of the backends can't be reached
)

// setSource replaces the service's source. The new source starts only after the old source has
// stopped, so that no update of the old source follows. The new source starts with a snapshot,
// since the versions of two sources can't be compared. The old list stays active until the first
// update of the new source. The context must not end before the service is stopped.
func (s *service) setSource(ctx context.Context, source config.Source, log *slog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	resume := resumePoint{version: -1}
	if s.stopSource == nil {
		resume = s.firstResumePoint(source)
	} else {
		if reflect.DeepEqual(source, s.source) {
			return
		}
		s.stopSource()
		s.sourceRun.Wait()
	}
	ctx, stopSource := context.WithCancel(ctx)
	s.source, s.stopSource = source, stopSource
	if source.Kind == config.Static {
		s.endpoints.UpdateEndpoints(&membership.List{Full: true, Endpoints: source.Endpoints})
		return
	}
	log = log.With("service", s.cfg.Name)
	follower := s.newSource(source, resume, log)
	sink := s.hollow.sink(s.cfg.Name, s.endpoints)
	if s.cacheDir != "" && isCacheable(source) {
		recorder := cache.NewRecorder(sink, s.cacheStore(source), s.endpoints.snapshot, log)
		s.recorder, sink = recorder, recorder
		s.sourceRun.Go(func() { recorder.Run(ctx) })
	}
	s.sourceRun.Go(func() { follower.Run(ctx, sink) })
}

// resumePoint is the point at which a source starts.
type resumePoint struct {
	version int64 // version after which the source sends deltas; negative if it starts with a snapshot
	// awaitFirstRequest makes an on-demand source wait for a request of the module before its first
	// call. The module requests no call before it has a list.
	awaitFirstRequest bool
}

// firstResumePoint returns the point at which the service's first source starts: the version of the
// service's initial list, if that list is from the same source.
func (s *service) firstResumePoint(source config.Source) resumePoint {
	resume := resumePoint{version: -1, awaitFirstRequest: s.cfg.KnownList != nil}
	if !reflect.DeepEqual(source, s.cfg.Source) {
		return resume
	}
	if s.cfg.KnownList != nil {
		resume.version = s.cfg.KnownList.Version
	} else if s.restored != nil {
		resume.version = s.restored.Version
	}
	return resume
}

// newSource returns a source that is not static. s.mu must be held.
func (s *service) newSource(source config.Source, resume resumePoint, log *slog.Logger) membership.Source {
	switch source.Kind {
	case config.File:
		return file.New(source.Path, log)
	case config.Consul:
		return consul.New(consul.Config{
			Address: source.Address,
			Service: source.RemoteName,
			Token:   readToken(source.TokenFile, log),
			Dial:    s.hollow.dial(),
			Log:     log,
		})
	case config.Relay:
		return relayed.NewSource(s.relayLists, source.RemoteName)
	default:
		return s.newCatalogSource(source, resume, log)
	}
}

// newCatalogSource returns a source that follows the platform's discovery. s.mu must be held.
func (s *service) newCatalogSource(source config.Source, resume resumePoint, log *slog.Logger) membership.Source {
	cfg := catalog.Config{
		Address:           source.Address,
		OnDemand:          s.cfg.Balancer.WatchEndpoints,
		AwaitFirstRequest: resume.awaitFirstRequest,
		KnownVersion:      resume.version,
		WatchRequested:    s.pool.WatchRequested(),
		Rand:              s.watchRand,
		Dial:              s.hollow.dial(),
		Log:               log,
	}
	if s.pollRand != nil && !cfg.OnDemand {
		replicas := s.cfg.Balancer.Replicas
		if replicas == 1 {
			replicas = 0 // unknown, since 1 is the default
		}
		polls := startup.PollConfig{Replicas: replicas, RecentStarts: s.recentStarts}
		cfg.Scheduler = startup.NewPollScheduler(polls, s.pollRand)
		cfg.KnownAge, cfg.Urgent = s.restoredAge, s.needsListSoon
	}
	s.recentStarts = 0 // a source that a reload sets is not part of a start
	return catalog.New(cfg)
}

// stopFollowing stops the source and waits for its end. No other source can be set afterwards.
func (s *service) stopFollowing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.stopSource != nil {
		s.stopSource()
	}
	s.sourceRun.Wait()
}

// stopRecording stops caching the list, since a new service with the same name caches its own list.
func (s *service) stopRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorder != nil {
		s.recorder.Stop()
	}
}

// currentSource returns the source that the service follows, or its first source before start.
func (s *service) currentSource() config.Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopSource == nil {
		return s.cfg.Source
	}
	return s.source
}

// needsListSoon reports whether a newer list is urgent: the service has no list, or at least
// 1/unreachableDivisor of its backends can't be reached.
func (s *service) needsListSoon() bool {
	stats := s.upstream.Stats()
	return !s.isReady() || stats.Unreachable > 0 && stats.Unreachable*unreachableDivisor >= stats.Backends
}

// isCacheable reports whether lists of a source are cached. Lists in a file or in the configuration
// are on this machine already.
func isCacheable(source config.Source) bool {
	return source.Kind == config.Catalog || source.Kind == config.Consul || source.Kind == config.Relay
}

// cacheStore returns the store that caches a source's list. The store keeps the source's identity
// with the list and ignores lists of another identity, so the format of the identity must not
// change.
func (s *service) cacheStore(source config.Source) *cache.Store {
	identity := fmt.Sprintf("%d %s %s", source.Kind, source.Address, source.RemoteName)
	return cache.NewStore(s.cacheDir, s.cfg.Name, identity)
}

// restoreEndpoints makes the list that an earlier process has cached the service's initial list, if
// the list is valid and not too old.
func (s *service) restoreEndpoints(shared *sharedResources) {
	list, age, err := s.cacheStore(s.cfg.Source).Load(time.Now(), shared.maxListAge)
	log := shared.log.With("service", s.cfg.Name)
	if err != nil {
		log.Warn("cached endpoint list not used", "error", oneLine(err))
	}
	if list == nil {
		return
	}
	log.Info(
		"cached endpoint list restored",
		"age", age.Round(time.Millisecond), "version", list.Version, "endpoints", len(list.Endpoints),
	)
	s.restored, s.restoredAge = list, age
	s.endpoints.restore(list)
}

// readToken reads a registry's token. It returns an empty token if path is empty or can't be read;
// the registry decides whether to accept requests without a token.
func readToken(path string, log *slog.Logger) string {
	if path == "" {
		return ""
	}
	text, err := readBounded(path, maxTokenBytes)
	if err != nil {
		log.Warn("registry token not read", "error", err)
		return ""
	}
	return strings.TrimSpace(text)
}

// readBounded reads at most the first limit bytes of a file.
func readBounded(path string, limit int64) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // the file was only read
	data, err := io.ReadAll(io.LimitReader(f, limit))
	return string(data), err
}
