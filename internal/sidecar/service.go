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
	uncountedBodyBytes = 4 << 10 // largest response body that no quota counts, in bytes

	recentIDDeadlines = 2 // longest deadlines for which the ID of a request that has ended is not accepted again

	drainPollInterval = 20 * time.Millisecond

	pollRandStream  = 31 // random stream that spreads the polls of a list service
	watchRandStream = 37 // random stream of holds and backoffs of watches
)

// service is one pool with its upstream and its endpoint source. It exists from the configuration
// that adds it until its last request has ended. Its life cycle is newService, start, then drain or
// stop.
type service struct {
	cfg        *config.Service // immutable; its Source is the first source only
	pool       *core.Pool
	upstream   *upstream.Upstream
	endpoints  *endpointList
	relayLists *relayed.Lists
	hollow     *HollowOptions // nil if the sidecar is not hollow
	cacheDir   string         // directory of the cached list; empty if the list is not cached

	pollRand  *rand.Rand // nil if polls need no spreading; used by setSource and the running source only
	watchRand *rand.Rand // used by the running source only

	restored    *membership.List // initial list from the cache; nil if there was none
	restoredAge time.Duration    // age of restored when it was loaded

	stopPool context.CancelFunc // nil before start
	poolRun  sync.WaitGroup

	mu           sync.Mutex // guards the fields below; held while the source is replaced
	recentStarts int        // of the sidecar, for the first source; 0 afterwards
	source       config.Source
	stopSource   context.CancelFunc // nil before the first source
	sourceRun    sync.WaitGroup
	recorder     *cache.Recorder // caches the current source's list; nil if the list is not cached
	stopped      bool
}

// newService returns a service that is inactive until start. Its initial list is the known list of
// the configuration, or otherwise a cached list, if there is any.
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
	recentIDWindow := time.Duration(0)
	if shared.isPlatform {
		recentIDWindow = recentIDDeadlines * cfg.LongestDeadline()
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
		RecentIDWindow:  recentIDWindow,
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
		Quota:              descriptorQuota{allocator: shared.descriptors, consumer: cfg.Name},
		Memory:             responseMemoryOf(cfg, shared),
		MaxResponse:        cfg.MaxResponse,
		MaxUncountedBody:   uncountedBodyBytes,
		PassAllStatuses:    cfg.PassAllStatuses,
		LimitDials:         shared.sharedListService,
		IsNonIdempotent: func(class int) bool {
			return cfg.Balancer.Classes[class].Idempotency == logic.NonIdempotent
		},
	}
	if cfg.Trusted {
		upstreamCfg.ReuseDelay = 0
	}
	return upstreamCfg
}

// responseMemoryOf returns the memory for the response bodies of a service.
func responseMemoryOf(cfg *config.Service, shared *sharedResources) upstream.Memory {
	usual := memoryQuota{allocator: shared.memory, consumer: cfg.Name}
	if !shared.isPlatform {
		return usual
	}
	return responseMemory{
		usual: usual, large: memoryQuota{allocator: shared.memory, consumer: config.LargeResponsesConsumer},
	}
}

// start runs the pool and the endpoint source until stop. The context must not end before stop.
func (s *service) start(ctx context.Context, log *slog.Logger) {
	poolCtx, stopPool := context.WithCancel(ctx)
	s.stopPool = stopPool
	s.poolRun.Go(func() { s.pool.Run(poolCtx) })
	s.setSource(ctx, s.cfg.Source, log)
}

// stop stops the service and waits for the end of its goroutines. Open requests are canceled.
func (s *service) stop() {
	s.stopFollowing()
	if s.stopPool != nil {
		s.stopPool()
	}
	s.poolRun.Wait()
	s.upstream.UpdateEndpoints(true, nil) // closes idle connections
}

// drain closes the pool and stops the service after its last request has ended. It stops the
// service earlier if canceled is closed, or one second after the longest deadline.
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

// awaitRequests waits until the pool has no requests, timeout fires or canceled is closed. Each
// poll triggers a check.
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

// equalExceptSource reports whether two configurations of a service differ at most in the endpoint
// source and the known list. If so, the service keeps its pool.
func equalExceptSource(a, b *config.Service) bool {
	x, y := *a, *b
	x.Source, y.Source = config.Source{}, config.Source{}
	x.KnownList, y.KnownList = nil, nil
	return reflect.DeepEqual(x, y)
}
