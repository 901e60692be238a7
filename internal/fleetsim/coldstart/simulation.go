package coldstart

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"fernlanding/internal/start"
)

// replica is one replica of the fleet.
type replica struct {
	scheduler              *start.PollScheduler
	incarnation            int
	callNumber             int // number of the call in progress
	hasList                bool
	readyAt                time.Duration // time of the incarnation's first list; negative means no list yet
	withoutListAtOutageEnd bool
}

// simulation is the state of one simulated day.
type simulation struct {
	day       Day
	rnd       *rand.Rand
	events    eventQueue
	replicas  []*replica
	idleAt    []time.Duration // by service: when all queued polls are served
	fullPolls map[int]int     // full polls by second
	calls     map[int]int     // calls of any kind by second
	result    Result
}

// epoch returns the zero time of the virtual clock.
func epoch() time.Time { return time.Unix(0, 0) }

// Run simulates a day. The result is deterministic: equal days give equal results.
func Run(d Day) (Result, error) {
	if err := d.Validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{
		day: d, rnd: rand.New(rand.NewPCG(d.Seed, 1)), idleAt: make([]time.Duration, d.Services),
		fullPolls: map[int]int{}, calls: map[int]int{},
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

// scheduleOutage schedules the effects of an outage on the replicas. It appends the events without
// heap order, so the caller must initialize the heap afterwards.
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
			r.withoutListAtOutageEnd = r.readyAt < 0
		}
	}})
}

// isStale reports whether an event belongs to an earlier incarnation of its replica or to a call
// that has already ended.
func (s *simulation) isStale(e event) bool {
	if e.replica == noReplica {
		return false
	}
	r := s.replicas[e.replica]
	return r.incarnation != e.incarnation || r.callNumber != e.callNumber
}

// schedule schedules an event that belongs to a replica's current call.
func (s *simulation) schedule(when time.Duration, i int, run func(now time.Duration)) {
	r := s.replicas[i]
	s.events.add(event{at: when, replica: i, incarnation: r.incarnation, callNumber: r.callNumber, run: run})
}

// start starts a replica, or restarts it as a new incarnation.
func (s *simulation) start(i int, now time.Duration) {
	r, d := s.replicas[i], &s.day
	known := 0
	if d.KnowsReplicas {
		known = d.Replicas
	}
	rnd := rand.New(rand.NewPCG(d.Seed, uint64(i+2)<<8+uint64(r.incarnation)))
	*r = replica{
		incarnation: r.incarnation + 1, hasList: d.StartsWithList, readyAt: -1,
		scheduler: start.NewPollScheduler(start.PollConfig{Replicas: known}, rnd),
	}
	if d.StartsWithList {
		r.readyAt = now
	}
	s.scheduleCall(i, now, r.scheduler.First(epoch().Add(now), d.StartsWithList, d.ListAge))
}

// scheduleCall schedules a replica's next call.
func (s *simulation) scheduleCall(i int, now time.Duration, call start.Call) {
	s.schedule(now+call.Delay, i, func(now time.Duration) { s.receiveCall(i, now, call) })
}

// endCall handles the end of a replica's call and schedules the next call.
func (s *simulation) endCall(i int, now time.Duration, outcome start.Outcome, retryAfter time.Duration) {
	r := s.replicas[i]
	r.callNumber++
	if outcome == start.Answered && !r.hasList {
		r.hasList, r.readyAt = true, now
	}
	s.scheduleCall(i, now, r.scheduler.Next(epoch().Add(now), outcome, !r.hasList, retryAfter))
}
