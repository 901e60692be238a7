package coldstart

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"fernlanding/internal/start"
)

// replica is one replica of the fleet.
type replica struct {
	polls       *start.PollScheduler
	incarnation int
	call        int // the one that is awaited
	hasList     bool
	readyAt     time.Duration // when it had its first list in this incarnation; negative: not yet
	wasLost     bool          // it had none at the outage's end
}

// simulation is one day as it is simulated.
type simulation struct {
	day      Day
	rnd      *rand.Rand
	events   eventQueue
	replicas []*replica
	idleAt   []time.Duration // by service: when its queue will have been served
	polls    map[int]int     // full ones, by second
	calls    map[int]int     // by second
	result   Result
}

// epoch is the zero of the virtual clock.
func epoch() time.Time { return time.Unix(0, 0) }

// Run simulates a day. The same day gives the same result.
func Run(d Day) (Result, error) {
	if err := d.Validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{
		day: d, rnd: rand.New(rand.NewPCG(d.Seed, 1)), idleAt: make([]time.Duration, d.Services),
		polls: map[int]int{}, calls: map[int]int{},
	}
	for i := range d.Replicas {
		s.replicas = append(s.replicas, &replica{})
		s.start(i, 0)
	}
	if d.OutageAt > 0 {
		s.scheduleOutage()
	}
	heap.Init(&s.events)
	for len(s.events) > 0 && s.events[0].at <= d.Length {
		e := s.events.removeFirst()
		if !s.isStale(e) {
			e.run(e.at)
		}
	}
	return s.summarize(), nil
}

// scheduleOutage schedules what an outage does beyond the services. The events are not in heap
// order yet.
func (s *simulation) scheduleOutage() {
	d := &s.day
	if d.RestartedFraction > 0 {
		for i := range s.replicas {
			if s.rnd.Float64() < d.RestartedFraction {
				s.events = append(s.events, event{
					at: d.OutageAt + time.Second, replica: noReplica, run: func(now time.Duration) { s.start(i, now) },
				})
			}
		}
	}
	s.events = append(s.events, event{at: d.outageEnd(), replica: noReplica, run: func(time.Duration) {
		for _, r := range s.replicas {
			r.wasLost = r.readyAt < 0
		}
	}})
}

// isStale reports whether an event is of an earlier incarnation, or of a call that has ended
// otherwise.
func (s *simulation) isStale(e event) bool {
	if e.replica == noReplica {
		return false
	}
	r := s.replicas[e.replica]
	return r.incarnation != e.incarnation || r.call != e.call
}

// at schedules an event of a replica's present call.
func (s *simulation) at(when time.Duration, i int, run func(now time.Duration)) {
	r := s.replicas[i]
	s.events.add(event{at: when, replica: i, incarnation: r.incarnation, call: r.call, run: run})
}

// start starts a replica.
func (s *simulation) start(i int, now time.Duration) {
	r, d := s.replicas[i], &s.day
	known := 0
	if d.KnowsReplicas {
		known = d.Replicas
	}
	rnd := rand.New(rand.NewPCG(d.Seed, uint64(i+2)<<8+uint64(r.incarnation)))
	*r = replica{
		incarnation: r.incarnation + 1, hasList: d.HasList, readyAt: -1,
		polls: start.NewPollScheduler(start.PollConfig{Replicas: known}, rnd),
	}
	if d.HasList {
		r.readyAt = now
	}
	s.scheduleCall(i, now, r.polls.First(epoch().Add(now), d.HasList, d.ListAge))
}

// scheduleCall schedules a replica's next call.
func (s *simulation) scheduleCall(i int, now time.Duration, call start.Call) {
	s.at(now+call.Delay, i, func(now time.Duration) { s.call(i, now, call) })
}

// endCall takes a call's end.
func (s *simulation) endCall(i int, now time.Duration, outcome start.Outcome, retryAfter time.Duration) {
	r := s.replicas[i]
	r.call++
	if outcome == start.Answered && !r.hasList {
		r.hasList, r.readyAt = true, now
	}
	s.scheduleCall(i, now, r.polls.Next(epoch().Add(now), outcome, !r.hasList, retryAfter))
}
