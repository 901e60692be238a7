package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"

	"fernlanding/logic"
)

// The streams of random numbers. What a client requests depends on the seed alone, so that a day
// with a fault and the same day without it have the same requests.
const (
	streamRequests = iota + 1
	streamBursts
	streamNetwork
	streamBackends
	streamClients
)

const sampleInterval = 100_000 // microseconds between samples of the backends' load and warmth

// Options states what a run keeps.
type Options struct {
	Trace bool // samples of every replica, and each shed request with its cause
}

// simulation is one day as it is simulated.
type simulation struct {
	eventQueue
	day      *Day
	capacity float64 // requests per second
	warmup   int64   // microseconds
	length   int64   // microseconds

	networkRand, backendRand, clientRand *rand.Rand

	backends [][]*backend // by tier, those that have a process
	byID     map[string]*backend
	front    []*replica // before the first tier, those that clients reach
	replicas []*replica // that have ever been
	hotShare float64    // fraction of all traffic that the first replica gets; 0: its usual fraction
	free     []float64  // fraction of each tier's capacity that is free, as last sampled

	inFlight     map[*attempt]uint64 // with their order of sending
	attempts     uint64
	ids          int
	replicaCount int

	metrics   Metrics
	audit     audit
	trace     *Trace              // nil: none is kept
	onServed  func(latency int64) // for tests: a client has been served
	onSampled func()              // for tests: the backends have been sampled
}

// Run simulates a day that is complete.
func Run(d *Day, opts Options) *Result { return newSimulation(d, opts).run() }

// newSimulation returns a day with its processes started.
func newSimulation(d *Day, opts Options) *simulation {
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, stream)) }
	s := &simulation{
		day:         d,
		capacity:    d.Capacity(),
		warmup:      d.Warmup.micros(),
		length:      d.Length.micros(),
		networkRand: rng(streamNetwork),
		backendRand: rng(streamBackends),
		clientRand:  rng(streamClients),
		byID:        map[string]*backend{},
		inFlight:    map[*attempt]uint64{},
		free:        make([]float64, len(d.Tiers)),
		backends:    make([][]*backend, len(d.Tiers)),
		metrics:     newMetrics(d),
		audit:       audit{firstRuns: map[string]firstRun{}},
	}
	if opts.Trace {
		s.trace = &Trace{}
	}
	s.startAll()
	return s
}

// run simulates the day until nothing is left to happen.
func (s *simulation) run() *Result {
	for _, r := range s.workload() {
		s.at(r.arrivedAt, func() { s.sendAttempt(r) })
	}
	for i := range s.day.Faults {
		s.inject(&s.day.Faults[i])
	}
	s.at(0, s.sample)
	for s.runNext() {
	}
	return s.result()
}

// hop returns the time of one way between two processes, in microseconds.
func (s *simulation) hop() int64 {
	return int64(float64(s.day.Network.Latency.micros()) * (0.5 + s.networkRand.Float64()))
}

// noise returns the factor that one attempt's work differs by.
func (s *simulation) noise() float64 {
	if s.day.Noise == 0 {
		return 1
	}
	return math.Exp(s.day.Noise*s.backendRand.NormFloat64() - s.day.Noise*s.day.Noise/2)
}

// sample samples the backends, ten times a second.
func (s *simulation) sample() {
	for tier, backends := range s.backends {
		s.free[tier] = s.sampleTier(backends)
	}
	if s.onSampled != nil && s.now > s.warmup {
		s.onSampled()
	}
	if s.trace != nil && s.now%traceInterval == 0 {
		s.traceReplicas()
	}
	if s.now < s.length {
		s.after(sampleInterval, s.sample)
	}
}

// sampleTier samples a tier's backends and returns the fraction of its capacity that is free.
func (s *simulation) sampleTier(backends []*backend) float64 {
	usable, total := 0.0, 0.0
	for _, b := range backends {
		b.sample()
		if b.dead || b.state != logic.Ready {
			continue
		}
		capacity := float64(b.group.Cores) * b.group.Speed * b.warmth()
		total += capacity
		if !b.overloaded && !b.hung && b.failRate == 0 {
			usable += capacity * b.freeFraction / b.slowdown
		}
	}
	if total == 0 {
		return 0
	}
	return usable / total
}

// minFree returns the fraction of its capacity that is free in every tier.
func (s *simulation) minFree() float64 { return slices.Min(s.free) }
