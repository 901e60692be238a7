package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"

	"fernlanding/logic"
)

// Random number streams. Except for bursts, the client requests depend on the seed alone, so that a
// day with faults and the same day without faults have the same requests.
const (
	streamRequests = iota + 1
	streamBursts
	streamNetwork
	streamBackends
	streamClients
)

const sampleInterval = 100_000 // microseconds between samples of the backends' load and warmth

// Options configures a run.
type Options struct {
	Trace bool // whether to record samples of every replica and each shed request with its cause
}

// simulation is the state of one simulated day.
type simulation struct {
	eventQueue
	day      *Day
	capacity float64 // requests per second
	warmup   int64   // microseconds
	length   int64   // microseconds

	networkRand, backendRand, clientRand *rand.Rand

	backends      [][]*backend // backends by tier, without removed ones
	byID          map[string]*backend
	front         []*replica // replicas before the first tier, to which clients send
	replicas      []*replica // all replicas, including replaced ones
	hotShare      float64    // fraction of all traffic for the first replica; 0 means an equal fraction
	freeFractions []float64  // free fraction of each tier's capacity at the last sample

	inFlight     map[*attempt]uint64 // attempts in flight with their sequence numbers
	attempts     uint64              // sequence number of the next attempt
	ids          int                 // number of IDs issued
	replicaCount int                 // number of replicas ever started

	metrics   Metrics
	audit     audit
	trace     *Trace              // nil means no trace is recorded
	onServed  func(latency int64) // test hook, called when a client request has been served
	onSampled func()              // test hook, called when the backends have been sampled
}

// Run simulates a day. The day must be complete, as after [Day.Complete] or [Read].
func Run(d *Day, opts Options) *Result { return newSimulation(d, opts).run() }

// newSimulation returns the simulation of a day with all processes started.
func newSimulation(d *Day, opts Options) *simulation {
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, stream)) }
	s := &simulation{
		day:           d,
		capacity:      d.Capacity(),
		warmup:        d.Warmup.micros(),
		length:        d.Length.micros(),
		networkRand:   rng(streamNetwork),
		backendRand:   rng(streamBackends),
		clientRand:    rng(streamClients),
		byID:          map[string]*backend{},
		inFlight:      map[*attempt]uint64{},
		freeFractions: make([]float64, len(d.Tiers)),
		backends:      make([][]*backend, len(d.Tiers)),
		metrics:       newMetrics(d),
		audit:         audit{firstRuns: map[string]firstRun{}},
	}
	if opts.Trace {
		s.trace = &Trace{}
	}
	s.startAll()
	return s
}

// run simulates the day until no event is left.
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

// networkDelay draws the one-way delay between two processes, in microseconds.
func (s *simulation) networkDelay() int64 {
	return int64(float64(s.day.Network.Latency.micros()) * (0.5 + s.networkRand.Float64()))
}

// workNoise draws the factor by which the work of one attempt deviates. Its mean is 1.
func (s *simulation) workNoise() float64 {
	if s.day.Noise == 0 {
		return 1
	}
	return math.Exp(s.day.Noise*s.backendRand.NormFloat64() - s.day.Noise*s.day.Noise/2)
}

// sample samples the backends and reschedules itself until the end of the day, ten times a second.
func (s *simulation) sample() {
	for tier, backends := range s.backends {
		s.freeFractions[tier] = s.sampleTier(backends)
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

// sampleTier samples the backends of a tier and returns the free fraction of the tier's capacity.
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

// minFree returns the lowest free fraction of capacity among all tiers.
func (s *simulation) minFree() float64 { return slices.Min(s.freeFractions) }
