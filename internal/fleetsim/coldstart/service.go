package coldstart

import (
	"time"

	"fernlanding/internal/start"
)

// call is a replica's call as it reaches its service.
func (s *simulation) call(i int, now time.Duration, call start.Call) {
	second := int(now / time.Second)
	s.calls[second]++
	if call.Full {
		s.polls[second]++
		s.result.FullPolls++
	}
	switch {
	case s.day.isDown(now):
		s.result.Rejected++
		s.reject(i, now)
	case call.Full:
		s.fullPoll(i, now, call)
	default:
		s.watch(i, now, call)
	}
}

// reply answers a replica's call; the answer takes its time.
func (s *simulation) reply(i int, at time.Duration, outcome start.Outcome, retryAfter time.Duration) {
	at += time.Duration(s.rnd.ExpFloat64() * float64(s.day.ReplyLatency))
	s.at(at, i, func(now time.Duration) { s.endCall(i, now, outcome, retryAfter) })
}

// reject rejects a replica's call.
func (s *simulation) reject(i int, at time.Duration) {
	s.reply(i, at, start.Rejected, s.day.RetryAfter)
}

// watch holds a watch until its time is up or the service goes down.
func (s *simulation) watch(i int, now time.Duration, call start.Call) {
	outage, end := s.day.OutageAt, now+call.Hold
	if outage > 0 && now < outage && end >= outage {
		s.reject(i, outage)
		return
	}
	s.reply(i, end, start.Answered, 0)
}

// fullPoll queues a full poll at the replica's service, or rejects it.
func (s *simulation) fullPoll(i int, now time.Duration, call start.Call) {
	service := i % s.day.Services
	serviceTime := time.Duration(float64(time.Second) / s.day.FullPollRate)
	s.idleAt[service] = max(s.idleAt[service], now)
	if s.idleAt[service]-now > time.Duration(s.day.QueueLength)*serviceTime {
		s.result.Rejected++
		s.reject(i, now)
		return
	}
	s.idleAt[service] += serviceTime
	deadline := now + call.Hold + call.Timeout
	done := s.idleAt[service]
	switch {
	case s.day.isDown(done):
		s.reject(i, s.day.OutageAt)
	case done <= deadline:
		s.reply(i, done, start.Answered, 0)
	default:
		s.at(deadline, i, func(now time.Duration) {
			s.result.GivenUp++
			s.endCall(i, now, start.TimedOut, 0)
		})
	}
}
