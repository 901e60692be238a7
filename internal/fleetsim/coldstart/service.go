package coldstart

import (
	"time"

	"fernlanding/internal/start"
)

// receiveCall handles a call of replica i that reaches its service.
func (s *simulation) receiveCall(i int, now time.Duration, call start.Call) {
	second := int(now / time.Second)
	s.calls[second]++
	if call.Full {
		s.fullPolls[second]++
		s.result.FullPolls++
	}
	switch {
	case s.day.isDown(now):
		s.result.Rejected++
		s.reject(i, now)
	case call.Full:
		s.queueFullPoll(i, now, call)
	default:
		s.holdWatch(i, now, call)
	}
}

// reply answers a replica's call after a random network delay.
func (s *simulation) reply(i int, at time.Duration, outcome start.Outcome, retryAfter time.Duration) {
	at += time.Duration(s.rnd.ExpFloat64() * float64(s.day.ReplyLatency))
	s.schedule(at, i, func(now time.Duration) { s.endCall(i, now, outcome, retryAfter) })
}

// reject rejects a replica's call.
func (s *simulation) reject(i int, at time.Duration) {
	s.reply(i, at, start.Rejected, s.day.RetryAfter)
}

// holdWatch answers a watch when its hold time is over, or rejects it when the service goes down.
func (s *simulation) holdWatch(i int, now time.Duration, call start.Call) {
	outage, end := s.day.OutageAt, now+call.Hold
	if outage > 0 && now < outage && end >= outage {
		s.reject(i, outage)
		return
	}
	s.reply(i, end, start.Answered, 0)
}

// queueFullPoll queues a full poll at the replica's service, or rejects the poll if the queue is
// full.
func (s *simulation) queueFullPoll(i int, now time.Duration, call start.Call) {
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
		s.schedule(deadline, i, func(now time.Duration) {
			s.result.TimedOut++
			s.endCall(i, now, start.TimedOut, 0)
		})
	}
}
