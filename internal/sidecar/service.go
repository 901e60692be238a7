package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/cache"
	"fernlanding/internal/membership/relayed"
	"fernlanding/logic"

	upstream "fernlanding/internal/upstream/http1"
)

const (
	minLargeBodies        = 2        // large answers that the platform's proxy reads at a time, at least
	mbPerLargeBody        = 16       // of memory
	platformUncountedBody = 64 << 10 // bytes of an answer that count against no quota on the platform
	uncountedBody         = 4 << 10  // and elsewhere

	drainPollInterval = 20 * time.Millisecond

	pollRandStream  = 31 // of the seed: spreads polls of a list service
	watchRandStream = 37 // of the seed: how long watches wait where the module requests them
)

// service is one pool with its upstream and the source of its endpoint list. It lives from the
// configuration that names it until its last request has ended: newService, start, drain or stop.
type service struct {
	cfg        *config.Service // does not change, but that Source is the first source alone
	pool       *core.Pool
	upstream   *upstream.Upstream
	endpoints  *endpointList
	relayLists *relayed.Lists
	hollow     *HollowOptions // nil: not in a hollow sidecar
	cacheDir   string         // where its list is cached; empty: nowhere

	pollRand  *rand.Rand // nil: polls need no spreading; used by setSource and the one source that runs
	watchRand *rand.Rand // used by the one source that runs

	restored    *membership.List // the cached list that it began with; nil: none
	restoredAge time.Duration    // of that at the start

	stopPool context.CancelFunc // nil before start
	poolRun  sync.WaitGroup

	mu           sync.Mutex // guards what follows; held while the source changes
	recentStarts int        // of the sidecar, for the first source; 0 from then on
	source       config.Source
	stopSource   context.CancelFunc // nil before the first source
	sourceRun    sync.WaitGroup
	recorder     *cache.Recorder // caches the present source's list; nil: it is not cached
	stopped      bool
}

// newService returns a service that does nothing before start. It begins with the configuration's
// known list or with a cached one, if there is any.
func newService(cfg *config.Service, seed uint64, shared *sharedResources) (*service, error) {
	s := &service{
		cfg:          cfg,
		recentStarts: shared.recentStarts,
		relayLists:   shared.relays.lists,
		hollow:       shared.hollow,
		watchRand:    rand.New(rand.NewPCG(seed, watchRandStream)),
		upstream:     upstream.New(upstreamConfig(cfg, shared)),
	}
	if shared.maxListAge != 0 {
		s.cacheDir = shared.stateDir
	}
	if shared.sharedListService {
		s.pollRand = rand.New(rand.NewPCG(seed, pollRandStream))
	}
	settings := cfg.Balancer
	settings.CapSlowStartPreference = shared.sharedListService
	var err error
	s.pool, err = core.New(core.Config{
		Settings:        settings,
		Seed:            seed,
		Zones:           cfg.Zones,
		Upstream:        shared.hollow.upstream(s.upstream),
		Clock:           shared.clock,
		Log:             shared.log.With("service", cfg.Name),
		DuplicateIDWait: shared.duplicateIDWait,
	})
	if err != nil {
		return nil, err
	}
	s.endpoints = newEndpointList(s.pool)
	if cfg.KnownList != nil {
		s.endpoints.updateFromCache(cfg.KnownList)
	} else if s.cacheDir != "" && isCacheable(cfg.Source) {
		s.restoreEndpoints(shared)
	}
	return s, nil
}

// upstreamConfig returns the configuration of a service's upstream.
func upstreamConfig(cfg *config.Service, shared *sharedResources) upstream.Config {
	upstreamCfg := upstream.Config{
		DialTimeout:        cfg.DialTimeout,
		BackendIdleTimeout: cfg.IdleTimeout,
		ReuseDelay:         upstream.UntrustedReuseDelay,
		Quota:              descriptorQuota{allocator: shared.descriptors, party: cfg.Name},
		MaxResponse:        cfg.MaxResponse,
		PassAllStatuses:    cfg.PassAllStatuses,
		LimitDials:         shared.sharedListService,
		IsNonIdempotent: func(class int) bool {
			return cfg.Balancer.Classes[class].Idempotency == logic.NonIdempotent
		},
	}
	if cfg.Trusted {
		upstreamCfg.ReuseDelay = 0
	}
	if shared.memory != nil {
		upstreamCfg.Memory = memoryQuota{allocator: shared.memory, party: cfg.Name}
		upstreamCfg.MaxUncountedBody = uncountedBody
		upstreamCfg.HoldUntilRelease = true
	} else {
		upstreamCfg.Memory = make(bodySlots, max(minLargeBodies, int(shared.memoryMB)/mbPerLargeBody))
		upstreamCfg.MaxUncountedBody = platformUncountedBody
	}
	return upstreamCfg
}

// start runs the pool and follows the endpoint list, until stop. The context is without an end.
func (s *service) start(ctx context.Context, log *slog.Logger) {
	poolCtx, stopPool := context.WithCancel(ctx)
	s.stopPool = stopPool
	s.poolRun.Go(func() { s.pool.Run(poolCtx) })
	s.setSource(ctx, s.cfg.Source, log)
}

// stop stops the service and waits until nothing of it is left. Open requests are canceled.
func (s *service) stop() {
	s.stopFollowing()
	if s.stopPool != nil {
		s.stopPool()
	}
	s.poolRun.Wait()
	s.upstream.UpdateEndpoints(true, nil) // closes idle connections
}

// drain closes the pool and stops the service when its last request has ended, at the latest after
// the longest deadline or when canceled is closed.
func (s *service) drain(canceled <-chan struct{}) {
	s.pool.Close()
	s.stopRecording()
	timeout := time.NewTimer(s.cfg.LongestDeadline() + time.Second)
	defer timeout.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	s.awaitRequests(poll.C, timeout.C, canceled)
	s.stop()
}

// awaitRequests waits until the pool has no request, or for the end of either of two times.
func (s *service) awaitRequests(poll, timeout <-chan time.Time, canceled <-chan struct{}) {
	for s.pool.Stats().Requests > 0 {
		select {
		case <-poll:
		case <-timeout:
			return
		case <-canceled:
			return
		}
	}
}

// isReady reports whether the service has an endpoint list.
func (s *service) isReady() bool {
	select {
	case <-s.pool.Ready():
		return true
	default:
		return false
	}
}

// sameButSource reports whether two configurations of a service differ in nothing but the source of
// the list: the pool can stay.
func sameButSource(a, b *config.Service) bool {
	x, y := *a, *b
	x.Source, y.Source = config.Source{}, config.Source{}
	x.KnownList, y.KnownList = nil, nil
	return reflect.DeepEqual(x, y)
}
