// Package coldstart plays the start of a whole fleet before its list services on a virtual clock: as many copies as are
// asked for, each with the real start.PollScheduler. It is pure. What a service does is a model: whole readings are worked off in
// turn at a rate, one that is given up is worked off all the same, further ones than a queue holds are turned away; watches
// cost it nothing but are counted.
package coldstart

import (
	"container/heap"
	"errors"
	"fernlanding/internal/start"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Day is one start.
type Day struct {
	Copies     int
	Told       bool          // the copies are told how many they are
	Known      bool          // they begin with a list
	Age        time.Duration // of that
	Services   int
	Rate       float64       // whole readings a second that each service works off
	Queue      int           // whole readings that wait at it
	RetryAfter time.Duration // that it says when it turns one away; 0: nothing
	Reply      time.Duration // that an answer takes on its way, in the mean
	Down       time.Duration // when the services go down; 0: never
	For        time.Duration // how long they are down
	Killed     float64       // part of the copies that start anew a second after that, with no list
	End        time.Duration
	Seed       uint64
}

// Bounds of a day.
const (
	MaxCopies = 100_000
	MaxEnd    = time.Hour
)

// Check says what is wrong with a day.
func (d Day) Check() error {
	bad := func(field string, found any, expect string) error {
		return fmt.Errorf("coldstart: %s: %v found, %s expected", field, found, expect)
	}
	switch {
	case d.Copies < 1 || d.Copies > MaxCopies:
		return bad("copies", d.Copies, fmt.Sprintf("1 to %d", MaxCopies))
	case d.Services < 1 || d.Services > 1000:
		return bad("services", d.Services, "1 to 1000")
	case !(d.Rate > 0 && d.Rate <= 1e6):
		return bad("rate", d.Rate, "more than 0 and at most 1e6")
	case d.Queue < 0 || d.Queue > 1e6:
		return bad("queue", d.Queue, "0 to 1e6")
	case d.End <= 0 || d.End > MaxEnd:
		return bad("end", d.End, "more than 0 and at most "+MaxEnd.String())
	case d.Down < 0 || d.For < 0 || d.Down+d.For > d.End:
		return bad("down", d.Down+d.For, "an outage within the day")
	case !(d.Killed >= 0 && d.Killed <= 1):
		return bad("killed", d.Killed, "0 to 1")
	case d.RetryAfter < 0 || d.Reply < 0:
		return errors.New("coldstart: retry_after and reply: times of 0 or more expected")
	}
	return nil
}

// Result is what a start came to. Rates are calls a second over all services.
type Result struct {
	PeakReads float64 // whole readings in the worst second
	PeakCalls float64 // calls of all kinds in the worst second
	Steady    float64 // calls of all kinds in the mean of the last quarter
	PeakBack  float64 // calls in the worst second from the outage's end on
	Reads     int
	GivenUp   int
	Refused   int
	Ready95   float64 // seconds from the start until so many have a list; infinite: not in this day
	ReadyAll  float64
	Back95    float64 // seconds from the outage's end until so many of those without a list have one
	BackAll   float64
}

// event is something that is to happen to a copy in one of its lives.
type event struct {
	at   time.Duration
	copy int
	life int
	call int
	do   func(now time.Duration)
}

const whole = -1 // the copy of an event that does not depend on a copy's call

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// copyOf is one copy of the fleet.
type copyOf struct {
	reads *start.PollScheduler
	life  int
	call  int // the one that is awaited
	has   bool
	ready time.Duration // when it had its first list in this life; negative: not yet
	lost  bool          // it had none at the outage's end
}

type play struct {
	d      Day
	rnd    *rand.Rand
	q      queue
	all    []*copyOf
	free   []time.Duration // by service: when what waits will have been worked off
	reads  map[int]int     // by second
	calls  map[int]int
	result Result
}

var zero = time.Unix(0, 0)

// Play plays a day. The same day gives the same result.
func Play(d Day) (Result, error) {
	if err := d.Check(); err != nil {
		return Result{}, err
	}
	p := &play{d: d, rnd: rand.New(rand.NewPCG(d.Seed, 1)), free: make([]time.Duration, d.Services), reads: map[int]int{}, calls: map[int]int{}}
	for i := range d.Copies {
		p.all = append(p.all, &copyOf{})
		p.begin(i, 0, d.Known)
	}
	if d.Down > 0 && d.Killed > 0 {
		again := d.Down + time.Second
		for i := range p.all {
			if p.rnd.Float64() < d.Killed {
				p.q = append(p.q, event{at: again, copy: whole, do: func(now time.Duration) { p.begin(i, now, d.Known) }})
			}
		}
	}
	if d.Down > 0 {
		p.q = append(p.q, event{at: d.Down + d.For, copy: whole, do: func(time.Duration) {
			for _, c := range p.all {
				c.lost = c.ready < 0
			}
		}})
	}
	heap.Init(&p.q)
	for len(p.q) > 0 && p.q[0].at <= d.End {
		e := heap.Pop(&p.q).(event)
		if e.copy >= 0 {
			if c := p.all[e.copy]; c.life != e.life || c.call != e.call {
				continue // of an earlier life, or a call that has ended otherwise
			}
		}
		e.do(e.at)
	}
	return p.sum(), nil
}

func (p *play) at(when time.Duration, i int, do func(time.Duration)) {
	c := p.all[i]
	heap.Push(&p.q, event{when, i, c.life, c.call, do})
}

// begin is a copy's start.
func (p *play) begin(i int, now time.Duration, known bool) {
	c := p.all[i]
	told := 0
	if p.d.Told {
		told = p.d.Copies
	}
	*c = copyOf{
		life: c.life + 1, has: known, ready: -1,
		reads: start.NewPollScheduler(start.PollConfig{Replicas: told}, rand.New(rand.NewPCG(p.d.Seed, uint64(i+2)<<8+uint64(c.life)))),
	}
	if known {
		c.ready = now
	}
	p.next(i, now, c.reads.First(zero.Add(now), known, p.d.Age))
}

// next has a copy make its next call.
func (p *play) next(i int, now time.Duration, call start.Call) {
	p.at(now+call.Delay, i, func(now time.Duration) { p.ask(i, now, call) })
}

// ended takes a call's end.
func (p *play) ended(i int, now time.Duration, o start.Outcome, after time.Duration) {
	c := p.all[i]
	c.call++
	if o == start.Answered && !c.has {
		c.has, c.ready = true, now
	}
	p.next(i, now, c.reads.Next(zero.Add(now), o, !c.has, after))
}

// ask is a call that reaches its service.
func (p *play) ask(i int, now time.Duration, call start.Call) {
	second := int(now / time.Second)
	p.calls[second]++
	if call.Full {
		p.reads[second]++
		p.result.Reads++
	}
	reply := func(at time.Duration, o start.Outcome, after time.Duration) {
		at += time.Duration(p.rnd.ExpFloat64() * float64(p.d.Reply))
		p.at(at, i, func(now time.Duration) { p.ended(i, now, o, after) })
	}
	down := func(t time.Duration) bool { return p.d.Down > 0 && t >= p.d.Down && t < p.d.Down+p.d.For }
	if down(now) {
		p.result.Refused++
		reply(now, start.Rejected, p.d.RetryAfter)
		return
	}
	late := now + call.Hold + call.Timeout
	if !call.Full {
		if end := now + call.Hold; p.d.Down > 0 && now < p.d.Down && end >= p.d.Down { // watches end when the service goes down
			reply(p.d.Down, start.Rejected, p.d.RetryAfter)
		} else {
			reply(end, start.Answered, 0)
		}
		return
	}
	s := i % p.d.Services
	each := time.Duration(float64(time.Second) / p.d.Rate)
	if p.free[s] = max(p.free[s], now); p.free[s]-now > time.Duration(p.d.Queue)*each {
		p.result.Refused++
		reply(now, start.Rejected, p.d.RetryAfter)
		return
	}
	p.free[s] += each
	if done := p.free[s]; down(done) {
		reply(p.d.Down, start.Rejected, p.d.RetryAfter)
	} else if done <= late {
		reply(done, start.Answered, 0)
	} else {
		p.at(late, i, func(now time.Duration) {
			p.result.GivenUp++
			p.ended(i, now, start.TimedOut, 0)
		})
	}
}

// sum takes the figures.
func (p *play) sum() Result {
	r := p.result
	end := int(p.d.End / time.Second)
	back := end
	if p.d.Down > 0 {
		back = int((p.d.Down + p.d.For) / time.Second)
	}
	quarter, steady := max(1, end/4), 0
	for s, n := range p.calls {
		r.PeakCalls = max(r.PeakCalls, float64(n))
		if s >= back {
			r.PeakBack = max(r.PeakBack, float64(n))
		}
		if s >= end-quarter && s < end {
			steady += n
		}
	}
	r.Steady = float64(steady) / float64(quarter)
	for _, n := range p.reads {
		r.PeakReads = max(r.PeakReads, float64(n))
	}
	var ready, since []float64
	for _, c := range p.all {
		t := math.Inf(1)
		if c.ready >= 0 {
			t = c.ready.Seconds()
		}
		ready = append(ready, t)
		if c.lost {
			since = append(since, t-(p.d.Down+p.d.For).Seconds())
		}
	}
	r.Ready95, r.ReadyAll = quantiles(ready)
	r.Back95, r.BackAll = quantiles(since)
	return r
}

func quantiles(all []float64) (most, last float64) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(0.95*float64(len(all))))], all[len(all)-1]
}
