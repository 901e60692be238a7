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
	maxTokenBytes       = 4 << 10 // of a registry's token
	unreachableFraction = 8       // one of so many backends that can't be reached makes a newer list urgent
)

// setSource follows a source in place of the one before. The new source starts only when the old
// one has ended, so that no update of the old one comes later, and it starts with a snapshot, since
// the versions of two sources do not compare. Until the new source has answered the old list stays
// in force. The context is without an end.
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

// resumePoint is where a source starts.
type resumePoint struct {
	version int64 // from which on the source sends deltas; negative: it sends a snapshot
	// awaitRequest has a source that the module requests wait for its first request. Without any
	// list the module requests nothing.
	awaitRequest bool
}

// firstResumePoint returns where the service's first source starts: at the version of the list that
// the service began with, if that is of the same source.
func (s *service) firstResumePoint(source config.Source) resumePoint {
	resume := resumePoint{version: -1, awaitRequest: s.cfg.KnownList != nil}
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

// newSource returns a source that is not static. s.mu is held.
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

// newCatalogSource returns a source that follows the platform's discovery. s.mu is held.
func (s *service) newCatalogSource(source config.Source, resume resumePoint, log *slog.Logger) membership.Source {
	cfg := catalog.Config{
		Address:           source.Address,
		OnDemand:          s.cfg.Balancer.WatchEndpoints,
		AwaitFirstRequest: resume.awaitRequest,
		KnownVersion:      resume.version,
		WatchRequested:    s.pool.WatchRequested(),
		Rand:              s.watchRand,
		Dial:              s.hollow.dial(),
		Log:               log,
	}
	if s.pollRand != nil && !cfg.OnDemand {
		replicas := s.cfg.Balancer.Replicas
		if replicas == 1 {
			replicas = 0 // unknown: 1 is the default
		}
		polls := startup.PollConfig{Replicas: replicas, RecentStarts: s.recentStarts}
		cfg.Scheduler = startup.NewPollScheduler(polls, s.pollRand)
		cfg.KnownAge, cfg.Urgent = s.restoredAge, s.needsListSoon
	}
	s.recentStarts = 0 // a later source, after a reload, is no start
	return catalog.New(cfg)
}

// stopFollowing stops the source, waits for its end and has no other follow.
func (s *service) stopFollowing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.stopSource != nil {
		s.stopSource()
	}
	s.sourceRun.Wait()
}

// stopRecording has the list cached no more: a successor with the same name caches its own.
func (s *service) stopRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorder != nil {
		s.recorder.Stop()
	}
}

// currentSource returns the source that the service follows, or is to follow first.
func (s *service) currentSource() config.Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopSource == nil {
		return s.cfg.Source
	}
	return s.source
}

// needsListSoon reports whether a newer list is urgent: the service has none, or many of its
// backends can't be reached.
func (s *service) needsListSoon() bool {
	stats := s.upstream.Stats()
	return !s.isReady() || stats.Unreachable > 0 && stats.Unreachable*unreachableFraction >= stats.Backends
}

// isCacheable reports whether lists of a source are cached. A file is there anyway, and what stands
// in the configuration needs no cache.
func isCacheable(source config.Source) bool {
	return source.Kind == config.Catalog || source.Kind == config.Consul || source.Kind == config.Relay
}

// cacheStore returns the store that caches a source's list. The source's identity is stored with
// the list, so its text must not change: another identity has cached lists ignored.
func (s *service) cacheStore(source config.Source) *cache.Store {
	identity := fmt.Sprintf("%d %s %s", source.Kind, source.Address, source.RemoteName)
	return cache.NewStore(s.cacheDir, s.cfg.Name, identity)
}

// restoreEndpoints has the service begin with the list that an earlier process has cached, if it
// can be used.
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

// readToken reads a registry's token. Without one the registry's answer says what it thinks of
// that.
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

// readBounded reads the first bytes of a file, limit at most.
func readBounded(path string, limit int64) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // nothing was written
	data, err := io.ReadAll(io.LimitReader(f, limit))
	return string(data), err
}
