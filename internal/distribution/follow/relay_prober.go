package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fernlanding/internal/sleep"
)

const (
	// probeTimeout is the timeout of a readiness check.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the mean time between readiness checks of the relays that are preferred to
	// the current one.
	probeInterval = 2 * time.Second
	// failbackSpread is the maximum random time before a follower returns to a preferred relay that
	// is ready again. It prevents all followers of that relay from returning at once.
	failbackSpread = 5 * time.Second
)

// relayProber checks whether a better relay than the current one is ready. Normally only the relays
// that are preferred to the current one are better, and the reader switches to one of them after a
// random time. While the current relay is disconnected from the source, every other relay is
// better, and the reader switches at once. A relayProber is safe for concurrent use.
type relayProber struct {
	transport Transport
	addresses []string // by preference

	mu           sync.Mutex
	current      int  // index of the relay that the reader reads from
	disconnected bool // whether the current relay is disconnected from the source
	preferred    int  // index of the relay to switch to, if found is set
	found        bool
	running      bool
}

// probeState is the state of the prober at the start of a probe.
type probeState struct {
	current      int
	candidates   int // number of relays, by preference, that may be better than the current one
	disconnected bool
}

// newRelayProber returns a prober without a current relay.
func newRelayProber(transport Transport, addresses []string) *relayProber {
	return &relayProber{transport: transport, addresses: addresses}
}

// setCurrent records the relay that the reader reads from, and whether that relay is disconnected
// from the source. A relay that was better only because the current one was disconnected is better
// no more once that one is connected again.
func (p *relayProber) setCurrent(choice int, disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnected && !disconnected {
		p.found = false
	}
	p.current = choice
	p.disconnected = disconnected
}

// takePreferred returns the relay to switch to, if a better relay than the current one has been
// found since the last call.
func (p *relayProber) takePreferred(current int) (choice int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found = p.found && p.preferred != current
	p.found = false
	return p.preferred, found
}

// start starts probing in the background, unless the prober is already running or no relay can be
// better than the current one. It draws the seed of the prober's random generator from random.
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

// candidates returns the number of relays, counted from the most preferred one, that may be better
// than the current one. The caller holds p.mu.
func (p *relayProber) candidates() int {
	if p.disconnected {
		return len(p.addresses)
	}
	return p.current
}

// run probes until no relay can be better than the current one or the context ends.
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

// nextState returns the state for the next probe. If there are no candidates, it marks the prober
// as not running.
func (p *relayProber) nextState() probeState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := probeState{current: p.current, candidates: p.candidates(), disconnected: p.disconnected}
	p.running = state.candidates > 0
	return state
}

// probeDelay returns the time to wait before the next probe.
func (s probeState) probeDelay(random *rand.Rand) time.Duration {
	delay := probeInterval/2 + time.Duration(random.Int64N(int64(probeInterval)))
	if s.disconnected {
		delay = time.Duration(random.Int64N(int64(probeInterval / 2)))
	}
	return delay
}

// firstReady returns the first candidate other than the current relay that is ready, or -1 if none
// is.
func (p *relayProber) firstReady(ctx context.Context, state probeState) int {
	for choice := range state.candidates {
		if choice != state.current && p.ready(ctx, choice) {
			return choice
		}
	}
	return -1
}

// confirm reports whether to switch to a relay that is ready. It returns true at once if the
// current relay is disconnected from the source. Otherwise it waits for a random time and checks
// the relay again, because that relay may have been disconnected from the source in the meantime.
func (p *relayProber) confirm(ctx context.Context, state probeState, choice int, random *rand.Rand) bool {
	if state.disconnected {
		return true
	}
	if !sleep.For(ctx, time.Duration(random.Int64N(int64(failbackSpread)))) {
		return false
	}
	return p.ready(ctx, choice)
}

// prefer makes the reader switch to a relay, if the reader's relay has not changed since the start
// of the probe, and has not been connected to the source again.
func (p *relayProber) prefer(state probeState, choice int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preferred = choice
	reconnected := state.disconnected && !p.disconnected
	p.found = p.current == state.current && !reconnected
}

// ready reports whether a relay responds and is not disconnected from the source.
func (p *relayProber) ready(ctx context.Context, choice int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.transport.Ready(ctx, p.addresses[choice]) == nil
}
