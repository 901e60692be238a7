package sidecar

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/cache"
	"fernlanding/internal/membership/catalog"
	"fernlanding/internal/membership/consul"
	"fernlanding/internal/membership/file"
	"fernlanding/internal/membership/relayed"
	"fernlanding/logic"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	pace "fernlanding/internal/start"
	upstream "fernlanding/internal/upstream/http1"
)

const (
	leastLarge = 2        // large answers that the platform's proxy reads at a time, at least
	largeMB    = 16       // of memory for each of them
	platformIn = 64 << 10 // bytes of an answer that count nowhere on the platform
	countedIn  = 4 << 10  // and elsewhere
	drainPoll  = 20 * time.Millisecond
	mostToken  = 4 << 10 // bytes of a registry's token

	pacedStream = 31 // of the seed: what spreads calls for lists
	watchStream = 37 // of the seed: how long watches wait where lists are asked for
	dyingPart   = 8  // one of so many backends that can't be reached makes a newer list urgent
)

// service is one pool with its upstream and the source of its list, from the configuration that names it until its
// last request has ended.
type service struct {
	cfg    *config.Service // does not change; where the list comes from does
	starts int             // of the sidecar lately
	hollow *HollowOptions  // nil: not in a hollow sidecar
	rnd    *rand.Rand      // nil: the list service is not shared, and calls to it need no spreading; only plug draws from it
	waits  *rand.Rand      // where the list is asked for at the module's word; drawn from by the one source that runs
	pool   *core.Pool
	up     *upstream.Upstream
	roster *roster
	stop   context.CancelFunc
	lists  *relayed.Lists
	parts  sync.WaitGroup

	listDir  string           // where its list is kept; empty: nowhere
	recalled *membership.List // that it began with; nil: none
	age      time.Duration    // of that at the start

	mu     sync.Mutex // held while the source changes
	from   config.Source
	unplug context.CancelFunc
	source sync.WaitGroup
	keeper *cache.Recorder // of the present source's list; nil: it is not kept
	over   bool
}

// parted is what services share.
type parted struct {
	clock    core.Clock
	log      *slog.Logger
	sockets  *shares
	memory   *shares // nil on the platform
	memoryMB float64
	starts   int            // of this sidecar lately, this one not included, as far as is known
	sameID   time.Duration  // that a request waits for the end of one under its id
	paced    bool           // lists come from a service that all copies share, and not from an agent on this machine
	stateDir string         // where lists are kept; empty: nowhere
	listAge  time.Duration  // from which on one that was kept is not begun with; 0: none is kept
	relays   *relays        // that lists come from where a service says so
	hollow   *HollowOptions // nil: a sidecar with listeners and connections
}

// newService makes a service; it stands still until start.
func newService(cfg *config.Service, seed uint64, with parted) (*service, error) {
	s := &service{cfg: cfg, starts: with.starts, listDir: with.stateDir, lists: with.relays.lists, hollow: with.hollow}
	if with.listAge == 0 {
		s.listDir = ""
	}
	s.waits = rand.New(rand.NewPCG(seed, watchStream))
	if with.paced {
		s.rnd = rand.New(rand.NewPCG(seed, pacedStream))
	}
	uc := upstream.Config{
		DialTimeout: cfg.DialTimeout, IdleClose: cfg.IdleClose, ReuseDelay: upstream.UntrustedReuseDelay,
		Quota: descriptors{with.sockets, cfg.Name}, MaxResponse: cfg.MaxResponse, PassAllStatuses: cfg.PassAllStatuses, LimitDials: with.paced,
		IsNonIdempotent: func(class int) bool { return cfg.Balancer.Classes[class].Idempotency == logic.NonIdempotent },
	}
	if cfg.Trusted {
		uc.ReuseDelay = 0
	}
	if with.memory != nil {
		uc.Memory, uc.UncountedBody, uc.HoldUntilRelease = memory{with.memory, cfg.Name}, countedIn, true
	} else {
		uc.Memory, uc.UncountedBody = make(slots, max(leastLarge, int(with.memoryMB)/largeMB)), platformIn
	}
	s.up = upstream.New(uc)
	settings := cfg.Balancer
	settings.ColdEvenly = with.paced
	var err error
	s.pool, err = core.New(core.Config{
		Settings: settings, Seed: seed, Zones: cfg.Zones, Upstream: with.hollow.upstream(s.up), Clock: with.clock,
		Log: with.log.With("service", cfg.Name), DuplicateIDWait: with.sameID,
	})
	if err != nil {
		return nil, err
	}
	s.roster = &roster{pool: s.pool, all: map[string]membership.Endpoint{}}
	if cfg.KnownList != nil {
		s.roster.cached(cfg.KnownList)
	} else if s.listDir != "" && keeps(cfg.Source) {
		s.recall(with)
	}
	return s, nil
}

// keeps tells whether lists from a source are kept in the folder: a file is there anyway, and what stands in the configuration
// needs no keeping.
func keeps(from config.Source) bool {
	return from.Kind == config.Catalog || from.Kind == config.Consul || from.Kind == config.Relay
}

// store is where a source's list is kept.
func (s *service) store(from config.Source) *cache.Store {
	return cache.NewStore(s.listDir, s.cfg.Name, fmt.Sprintf("%d %s %s", from.Kind, from.Address, from.RemoteName))
}

// recall has the service begin with the list that an earlier process kept.
func (s *service) recall(with parted) {
	list, age, err := s.store(s.cfg.Source).Load(time.Now(), with.listAge)
	log := with.log.With("service", s.cfg.Name)
	if err != nil {
		log.Warn("no list is known from before", "error", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	if list == nil {
		return
	}
	log.Info("list from before", "confirmed", age.Round(time.Millisecond), "version", list.Version, "endpoints", len(list.Endpoints))
	s.recalled, s.age = list, age
	s.roster.recalled(list)
}

// start begins the pool's time and follows its list.
func (s *service) start(log *slog.Logger) {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.parts.Go(func() { s.pool.Run(ctx) })
	s.plug(s.cfg.Source, log)
}

// plug follows a source, instead of the one before. A new one begins with the whole
// list, since the versions of two sources do not compare, and only when the old one has ended, so that nothing of the
// old follows the new. Until the new one has answered the old list stands.
func (s *service) plug(from config.Source, log *slog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	if s.unplug != nil {
		if reflect.DeepEqual(from, s.from) {
			return
		}
		s.unplug()
		s.source.Wait()
	}
	first := s.unplug == nil && s.cfg.KnownList != nil // with no list at all nobody says when to ask
	known := int64(-1)
	if same := reflect.DeepEqual(from, s.cfg.Source); first && same { // the versions of two sources do not compare
		known = s.cfg.KnownList.Version
	} else if s.unplug == nil && s.recalled != nil && same {
		known = s.recalled.Version
	}
	s.from = from
	ctx, unplug := context.WithCancel(context.Background())
	s.unplug = unplug
	if from.Kind == config.Static {
		s.roster.UpdateEndpoints(&membership.List{Full: true, Endpoints: from.Endpoints})
		return
	}
	log = log.With("service", s.cfg.Name)
	var source membership.Source
	switch from.Kind {
	case config.File:
		source = file.New(from.Path, log)
	case config.Consul:
		source = consul.New(consul.Config{Address: from.Address, Service: from.RemoteName, Token: token(from.TokenFile, log), Dial: s.hollow.dial(), Log: log})
	case config.Relay:
		source = relayed.NewSource(s.lists, from.RemoteName)
	default:
		cc := catalog.Config{Address: from.Address, Subscribe: s.cfg.Balancer.WatchEndpoints, AwaitFirstRequest: first, KnownVersion: known, WatchRequested: s.pool.WatchRequested(), Rand: s.waits, Dial: s.hollow.dial(), Log: log}
		if s.rnd != nil && !cc.Subscribe {
			copies := s.cfg.Balancer.Replicas
			if copies == 1 {
				copies = 0 // not told
			}
			cc.Scheduler, cc.KnownAge, cc.Urgent = pace.NewPollScheduler(pace.PollConfig{Replicas: copies, RecentStarts: s.starts}, s.rnd), s.age, s.urgent
		}
		source = catalog.New(cc)
		s.starts = 0 // a later source, after a reload, is no start
	}
	sink := s.hollow.sink(s.cfg.Name, s.roster)
	if s.listDir != "" && keeps(from) {
		keeper := cache.NewRecorder(sink, s.store(from), s.roster.list, log)
		s.keeper, sink = keeper, keeper
		s.source.Go(func() { keeper.Run(ctx) })
	}
	s.source.Go(func() { source.Run(ctx, sink) })
}

// urgent tells whether the service needs a newer list soon: it has none, or many of its backends can't be reached.
func (s *service) urgent() bool {
	u := s.up.Stats()
	return !s.ready() || u.Unreachable > 0 && u.Unreachable*dyingPart >= u.Backends
}

// token reads a registry's token. Without one the registry says what it thinks of that.
func token(path string, log *slog.Logger) string {
	if path == "" {
		return ""
	}
	f, err := os.Open(path)
	if err == nil {
		defer f.Close()
		var data []byte
		if data, err = io.ReadAll(io.LimitReader(f, mostToken)); err == nil {
			return strings.TrimSpace(string(data))
		}
	}
	log.Warn("token of the registry", "error", err)
	return ""
}

// end stops the service and waits until nothing of it is left. Requests that are open are aborted.
func (s *service) end() {
	s.mu.Lock()
	s.over = true
	if s.unplug != nil {
		s.unplug()
	}
	s.source.Wait()
	s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
	s.parts.Wait()
	s.up.UpdateEndpoints(true, nil) // closes what is idle
}

// drain takes nothing new, and ends when the last request has, at the latest after the longest deadline.
func (s *service) drain(ctx context.Context) {
	s.pool.Close()
	s.mu.Lock()
	if s.keeper != nil {
		s.keeper.Stop() // a successor of the same name keeps its own
	}
	s.mu.Unlock()
	left, cancel := context.WithTimeout(ctx, s.cfg.LongestDeadline()+time.Second)
	defer cancel()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for s.pool.Stats().Requests > 0 && left.Err() == nil {
		select {
		case <-poll.C:
		case <-left.Done():
		}
	}
	s.end()
}

// listSource is where the list comes from now.
func (s *service) listSource() config.Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unplug == nil {
		return s.cfg.Source
	}
	return s.from
}

// ready tells whether the service has a list.
func (s *service) ready() bool {
	select {
	case <-s.pool.Ready():
		return true
	default:
		return false
	}
}

// same tells whether two configurations of a service differ in nothing but its source: its pool can stay.
func same(a, b *config.Service) bool {
	x, y := *a, *b
	x.Source, y.Source = config.Source{}, config.Source{}
	x.KnownList, y.KnownList = nil, nil
	return reflect.DeepEqual(x, y)
}

// roster hands lists to a pool and keeps the whole list, which a successor of the pool begins with.
type roster struct {
	pool *core.Pool

	mu    sync.Mutex
	index int64
	all   map[string]membership.Endpoint
}

// UpdateEndpoints implements membership.Sink.
func (r *roster) UpdateEndpoints(l *membership.List) {
	r.take(l)
	r.pool.UpdateEndpoints(l)
}

// UpdateFailed implements membership.Sink.
func (r *roster) UpdateFailed() { r.pool.UpdateFailed() }

func (r *roster) cached(l *membership.List) {
	r.take(l)
	r.pool.UpdateFromCache(l)
}

func (r *roster) recalled(l *membership.List) {
	r.take(l)
	r.pool.RestoreEndpoints(l)
}

func (r *roster) take(l *membership.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index = l.Version; l.Full {
		clear(r.all)
	}
	for _, e := range l.Endpoints {
		if r.all[e.Name] = e; e.Status == membership.Deleted {
			delete(r.all, e.Name)
		}
	}
}

// list is the whole list as it stands; nil if there is none yet.
func (r *roster) list() *membership.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) == 0 {
		return nil
	}
	l := &membership.List{Version: r.index, Full: true}
	for _, name := range slices.Sorted(maps.Keys(r.all)) {
		l.Endpoints = append(l.Endpoints, r.all[name])
	}
	return l
}
