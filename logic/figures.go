package logic

// ShedCause names what a request was refused by.
type ShedCause int

// The causes of a refusal.
const (
	NoShedCause    ShedCause = iota
	ByConnections            // no connection is left for the next client
	ByTierLimit              // the tier's count
	ByTenantQuota            // the tenant's count
	ByClassLimit             // the class's count
	ByDeadline               // what is left of its time does not suffice
	ByNoEndpoint             // there is none that it may go to
	ByAttemptLimit           // it has had all its attempts
	ByRetryBudget            // the budget of further attempts is spent
	ByOrdering               // its turn, by its key, would come too late
	BySlowStart              // only cold servers could have it, and they bear no more
	ShedCauses     = iota
)

// String is the cause in words.
func (c ShedCause) String() string {
	return [ShedCauses]string{
		"none", "connections", "tier count", "tenant count", "class count", "time left", "no server",
		"attempts", "retry budget", "turn of its key", "cold servers",
	}[c]
}

// Evidence is the kind of evidence that cut a count.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence       Evidence = iota
	LateEvidence              // answers that came late, time-outs, full servers
	FailureEvidence           // failed calls that no server is to blame for
	PriorityEvidence          // slow calls of a class that is worth more
)

// String is the evidence in words.
func (e Evidence) String() string {
	return [...]string{"no evidence", "late calls", "failed calls", "slow calls of a worthier class"}[e]
}

// LimitStats is a count as it stands.
type LimitStats struct {
	Limit    float64  // calls in flight that pass
	InFlight int      // calls in flight
	LastCut  LimitCut // the last one
}

// LimitCut tells when and by what a count was last cut.
type LimitCut struct {
	At         int64 // microseconds; 0: never
	Evidence   Evidence
	Bad, Total int // finishes in the round
	From, To   float64
}

// Stats is what a Balancer holds to be so, for operators and experiments. Nothing is decided by it.
type Stats struct {
	Tier            LimitStats
	Classes         []LimitStats
	QuotaMultiple   float64 // multiple of its share that a tenant may pass
	SpilloverWeight float64 // weight of servers in other zones
	ErrorRate       float64 // running part of failed calls
	ReadyEndpoints  int     // servers
}

// Stats returns the present figures.
func (b *Balancer) Stats() Stats {
	f := Stats{Tier: b.tier.figures(), QuotaMultiple: b.share, SpilloverWeight: b.spill, ErrorRate: b.errs, ReadyEndpoints: len(b.ready)}
	for i := range b.classes {
		f.Classes = append(f.Classes, b.classes[i].rule.figures())
	}
	return f
}

func (r *concurrencyLimit) figures() LimitStats {
	return LimitStats{Limit: r.count, InFlight: r.threads, LastCut: r.last}
}

// ShedCause tells, from inside Host.Shed, what the request is refused by.
func (b *Balancer) ShedCause() ShedCause { return b.cause }
