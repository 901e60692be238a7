package logic

const (
	minSpilloverWeight     = 0.02 // weight of endpoints in other zones while the local zone is not slow
	initialSpilloverWeight = 0.3  // initial weight at the front tier, before any evidence about the local zone
	spilloverStep          = 0.15 // added after a round in which the local zone was slow
	spilloverDecay         = 0.9  // factor after a good round
)

// spillover is the weight of endpoints in other zones. It is learned from evidence about the local
// zone.
type spillover struct {
	weight   float64
	evidence evidenceRound
}

// newSpillover returns the initial spillover of a Balancer of the tier; evidence is its empty
// round.
func newSpillover(tier int, evidence evidenceRound) spillover {
	s := spillover{weight: initialSpilloverWeight, evidence: evidence}
	if tier > 0 {
		s.weight = minSpilloverWeight
	}
	return s
}

// learn records an outcome of the local zone.
func (s *spillover) learn(now, sentAt int64, bad bool) {
	v := s.evidence.add(now, sentAt, bad)
	switch {
	case v == good:
		s.weight = max(minSpilloverWeight, s.weight*spilloverDecay)
	case v.isBad():
		s.weight = min(1, s.weight+spilloverStep)
	}
}
