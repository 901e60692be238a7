package logic

// Cause names what a request was refused by.
type Cause int

// The causes of a refusal.
const (
	NoCause   Cause = iota
	ByLines         // no connection is left for the next client
	ByTier          // the tier's count
	ByTenant        // the tenant's count
	ByClass         // the class's count
	ByTime          // what is left of its time does not suffice
	ByServers       // there is none that it may go to
	ByTries         // it has had all its attempts
	ByBudget        // the budget of further attempts is spent
	ByTurn          // its turn, by its key, would come too late
	ByCold          // only cold servers could have it, and they bear no more
	Causes    = iota
)

// String is the cause in words.
func (c Cause) String() string {
	return [Causes]string{"none", "connections", "tier count", "tenant count", "class count", "time left", "no server",
		"attempts", "retry budget", "turn of its key", "cold servers"}[c]
}

// Evidence is the kind of evidence that cut a count.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence Evidence = iota
	Late                // answers that came late, time-outs, full servers
	Failures            // failed calls that no server is to blame for
	Yielding            // slow calls of a class that is worth more
)

// String is the evidence in words.
func (e Evidence) String() string {
	return [...]string{"no evidence", "late calls", "failed calls", "slow calls of a worthier class"}[e]
}

// RuleFigures is a count as it stands.
type RuleFigures struct {
	Count float64 // calls in flight that pass
	Out   int     // calls in flight
	Cut   Cut     // the last one
}

// Cut tells when and by what a count was last cut.
type Cut struct {
	At       int64 // microseconds; 0: never
	By       Evidence
	Bad, Of  int // finishes in the round
	From, To float64
}

// Figures is what a Balancer holds to be so, for operators and experiments. Nothing is decided by it.
type Figures struct {
	Tier    RuleFigures
	Classes []RuleFigures
	Share   float64 // multiple of its share that a tenant may pass
	Spill   float64 // weight of servers in other zones
	Errors  float64 // running part of failed calls
	Ready   int     // servers
}

// Figures returns the present figures.
func (b *Balancer) Figures() Figures {
	f := Figures{Tier: b.tier.figures(), Share: b.share, Spill: b.spill, Errors: b.errs, Ready: len(b.ready)}
	for i := range b.classes {
		f.Classes = append(f.Classes, b.classes[i].rule.figures())
	}
	return f
}

func (r *threadRule) figures() RuleFigures {
	return RuleFigures{Count: r.count, Out: r.threads, Cut: r.last}
}

// Cause tells, from inside Host.Refuse, what the request is refused by.
func (b *Balancer) Cause() Cause { return b.cause }
