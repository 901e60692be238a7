package logic

const (
	minSpilloverWeight     = 0.02 // weight of endpoints in other zones while the local zone copes
	initialSpilloverWeight = 0.3  // the same at a fresh replica of the front, which does not know how its zone copes
	spilloverStep          = 0.15 // added after a round in which the local zone was slow
	spilloverDecay         = 0.9  // factor after a good round
)

// spillover is the weight of endpoints in other zones, learned from evidence of the local zone.
type spillover struct {
	weight   float64
	evidence evidenceRound
}

// newSpillover returns the spillover that a Balancer of the tier starts with; evidence is its empty
// round.
func newSpillover(tier int, evidence evidenceRound) spillover {
	s := spillover{weight: initialSpilloverWeight, evidence: evidence}
	if tier > 0 {
		s.weight = minSpilloverWeight
	}
	return s
}

// learn takes one outcome of the local zone.
func (s *spillover) learn(now, sentAt int64, bad bool) {
	v := s.evidence.add(now, sentAt, bad)
	switch {
	case v == good:
		s.weight = max(minSpilloverWeight, s.weight*spilloverDecay)
	case v.isBad():
		s.weight = min(1, s.weight+spilloverStep)
	}
}
