package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fernlanding/internal/sleep"
)

const (
	// probeTimeout bounds a health check.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the mean time between health checks of the preferred relays, while another
	// one is read from.
	probeInterval = 2 * time.Second
	// failbackSpread is the longest time until a follower returns to a preferred relay that is
	// ready again, so that not all its followers return at once.
	failbackSpread = 5 * time.Second
)

// relayProber checks whether a better relay than the current one is ready. Normally only those
// preferred to the current one are better, and are returned to after a random wait. While the
// current one is disconnected from the source any other is better, and is switched to at once. It
// is safe for concurrent use.
type relayProber struct {
	transport Transport
	addresses []string // by preference

	mu           sync.Mutex
	current      int  // the relay that is read from
	disconnected bool // the current relay is disconnected from the source
	preferred    int  // the relay to switch to, if found
	found        bool
	running      bool
}

// probeState is what a probe starts from.
type probeState struct {
	current      int
	candidates   int // the first so many relays may be better than the current one; 0: none
	disconnected bool
}

// newRelayProber returns a prober that has not been told of a current relay.
func newRelayProber(transport Transport, addresses []string) *relayProber {
	return &relayProber{transport: transport, addresses: addresses}
}

// setCurrent notes which relay is read from, and whether it is disconnected from the source.
func (p *relayProber) setCurrent(choice int, disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = choice
	p.disconnected = disconnected
}

// takePreferred returns the relay to switch to from the current one, if a better one has been found
// since the last call.
func (p *relayProber) takePreferred(current int) (choice int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found = p.found && p.preferred != current
	p.found = false
	return p.preferred, found
}

// start starts probing in the background if that is not under way and there may be a better relay.
// It draws a seed from random.
func (p *relayProber) start(ctx context.Context, random *rand.Rand, jobs *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || p.candidates() == 0 {
		return
	}
	p.running = true
	own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	jobs.Go(func() { p.run(ctx, own) })
}

// candidates returns how many relays, the first ones by preference, may be better than the current
// one. The caller holds p.mu.
func (p *relayProber) candidates() int {
	if p.disconnected {
		return len(p.addresses)
	}
	return p.current
}

// run probes until no relay can be better than the current one, or the context ends.
func (p *relayProber) run(ctx context.Context, random *rand.Rand) {
	for {
		state := p.nextState()
		if state.candidates == 0 {
			return
		}
		if !sleep.For(ctx, state.probeDelay(random)) {
			return
		}
		better := p.firstReady(ctx, state)
		if better >= 0 && p.confirm(ctx, state, better, random) {
			p.prefer(state, better)
		}
	}
}

// nextState returns what the next probe starts from. If there is nothing to probe, the prober no
// longer runs.
func (p *relayProber) nextState() probeState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := probeState{current: p.current, candidates: p.candidates(), disconnected: p.disconnected}
	p.running = state.candidates > 0
	return state
}

// probeDelay returns how long to wait before the next probe.
func (s probeState) probeDelay(random *rand.Rand) time.Duration {
	delay := probeInterval/2 + time.Duration(random.Int64N(int64(probeInterval)))
	if s.disconnected {
		delay = time.Duration(random.Int64N(int64(probeInterval / 2)))
	}
	return delay
}

// firstReady returns the first candidate that is ready, other than the current relay; negative:
// none is.
func (p *relayProber) firstReady(ctx context.Context, state probeState) int {
	for choice := range state.candidates {
		if choice != state.current && p.ready(ctx, choice) {
			return choice
		}
	}
	return -1
}

// confirm reports whether to switch to a relay that is ready. Without haste it first waits for a
// random time, after which the relay must still be ready: it may have been disconnected from the
// source meanwhile.
func (p *relayProber) confirm(ctx context.Context, state probeState, choice int, random *rand.Rand) bool {
	if state.disconnected {
		return true
	}
	if !sleep.For(ctx, time.Duration(random.Int64N(int64(failbackSpread)))) {
		return false
	}
	return p.ready(ctx, choice)
}

// prefer has the reader switch to a relay, if it still reads from the one that the probe started
// from.
func (p *relayProber) prefer(state probeState, choice int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preferred = choice
	p.found = p.current == state.current
}

// ready reports whether a relay answers and hears from the source.
func (p *relayProber) ready(ctx context.Context, choice int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.transport.Ready(ctx, p.addresses[choice]) == nil
}
