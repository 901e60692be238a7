package predict

import (
	"fmt"
	"math"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// event is something that changes lists or makes proxies read them anew.
type event struct {
	name  string
	load  load
	reads float64 // whole lists that are read because of it, beyond those that changes bring
	// Proxies that resume by their positions; by distribution they do so in place of reading whole lists.
	resumes float64
	resumed bool // by distribution nothing is read whole
	// It is of configuration, not of lists: today nothing carries it.
	configuration bool
	note          string
}

// events are those of a fleet.
func (c *Calculator) events(s *shape) []event {
	f := s.fleet
	ordinary := s.ordinary(c.t)
	minute := ordinary.scaled(c.t.Get(BusiestFactor)*60/day, 60)
	zone := float64(f.ZoneProxies)
	region := float64(f.Proxies) / float64(f.Regions)
	largest := s.sizes[0]
	cut := ordinary.scaled(c.t.Get(CutSeconds)/day, 1)
	return []event{
		{name: "an ordinary day", load: ordinary, reads: f.RestartsPerDay * f.ServicesFollowed},
		{name: "its busiest minute", load: minute},
		{
			name: "a rolling release of the largest service", load: s.toLargest(releaseChanges*largest, c.t.Get(ReleaseMinutes)*60), reads: largest * f.ServicesFollowed,
			note: fmt.Sprintf("%s backends, four changes each", short(largest)),
		},
		{name: "a rack is lost", load: s.perBackend(min(c.t.Get(RackBackends), float64(f.Proxies)), atOnce)},
		{name: "a zone is lost", load: s.perBackend(zone, atOnce), note: short(zone) + " proxies and backends"},
		{name: "the zone returns", load: s.perBackend(zone, c.t.Get(ZoneReturnSeconds)), reads: zone * f.ServicesFollowed},
		{
			name: "the list services of a region restart", load: s.perBackend(0, atOnce), reads: region * f.ServicesFollowed, resumes: region, resumed: true,
			note: short(region) + " proxies",
		},
		{
			name: "a region was cut off for an hour, the meeting again", load: c.missed(s, cut, region),
			note: fmt.Sprintf("%s changes were missed", short(cut.total())),
		},
		{name: "a bad configuration of the largest service is taken back", load: s.toLargest(2, atOnce), configuration: true, note: "its coming and its going"},
	}
}

const (
	releaseChanges = 4   // of a backend that is released: drains, is gone, comes, is warm
	atOnce         = 1.0 // second
)

// scaled is a part of a load, over other seconds.
func (l load) scaled(factor, seconds float64) load {
	out := load{seconds: seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = factor * l.changes[i]
	}
	return out
}

// missed are the changes as one region gets them after a cut: at most one of each backend, to its share of all proxies.
func (c *Calculator) missed(s *shape, all load, region float64) load {
	out := load{seconds: atOnce, changes: make([]float64, len(all.changes))}
	for i, n := range all.changes {
		distinct := s.sizes[i] * (1 - math.Exp(-n/s.sizes[i]))
		out.changes[i] = distinct * region / float64(s.fleet.Proxies)
	}
	return out
}

// outcome is an event by one way. What goes on at rest is counted in.
type outcome struct {
	messages amount // answers to proxies, over the whole event
	bytes    amount // to a typical proxy, over the whole event
	cores    amount // of the tier in front of the proxies
	inForce  amount // seconds until it is in force everywhere
}

func (c *Calculator) play(w way, s *shape, x event) outcome {
	reads, resumes, hops := x.reads, 0.0, 1
	if w == result.SourceRelay {
		hops, resumes = relayHops, x.resumes
		if x.resumed {
			reads = 0
		}
	}
	d := control(s.under(x.load, c.gap()))
	whole := c.e.wholeReading(c.t)
	endpoints := reads * s.endpointsFollowed() / s.fleet.ServicesFollowed
	span, n := x.load.seconds, float64(s.fleet.Proxies)
	out := outcome{messages: c.e.predict(w, fit.Proxies, fit.MessagesIn, d).times(span), bytes: c.e.predict(w, fit.Proxies, fit.BytesIn, d).times(span / n)}
	out.messages.value += reads + resumes
	out.bytes.value += (whole.bytes(reads, endpoints) + resumes*s.fleet.ServicesFollowed*c.t.Get(ResumeBytes)) / n
	queue := known(0)
	for i, tier := range c.tiersOf(w, s, d) {
		need := c.e.predict(w, tier.role, fit.CPU, tier.d)
		if i == 0 { // it answers the proxies
			need.value += whole.cpuSeconds(reads+resumes, endpoints) / span
			need.known = need.known && whole.measured
			out.cores = need
		}
		queue = amount{max(queue.value, c.queue(need.value, span, tier.have)), queue.known && need.known}
	}
	out.inForce = c.inForce(w, hops).plus(queue)
	return out
}

// queue is how many seconds a tier's machines are behind after a span in which they need so many cores.
func (c *Calculator) queue(need, span, machines float64) float64 {
	capacity := machines * c.t.Get(MachineCores) * c.t.Get(MachineUse)
	return span * max(0, need/capacity-1)
}

// relayHops are the hops from the source to a proxy: to the region's relay, to the zone's, to the proxy.
const relayHops = 3

// inForce is the measured time at one relay or none and the hops that were not played, without any queue.
func (c *Calculator) inForce(w way, hops int) amount {
	further := c.t.Get(RegionRoundTripMs) / 1000
	if hops > 1 {
		further += float64(hops-2) * c.t.Get(CoalescingMs) / 1000
	}
	return c.e.inForce(w).plus(known(further))
}

// Events is the table of events at a size.
func (c *Calculator) Events(name string, f Fleet) Table {
	s := shapeOf(f, c.t)
	t := Table{Title: name, Head: []string{"event", "changes at the origin", "changes delivered", "way", "messages to proxies", "bytes to a proxy", "cores that serve them", "in force everywhere", "verdict"}}
	for _, x := range c.events(s) {
		changes, _ := s.delivered(x.load)
		at := []string{short(x.load.total()) + " w", short(changes) + " w"}
		what := x.name
		if x.note != "" {
			what += " (" + x.note + ")"
		}
		for _, w := range ways() {
			if x.configuration && w != result.SourceRelay {
				t.Rows = append(t.Rows, []string{what, at[0], at[1], wayName(w), "-", "-", "-", "-", "**misses: nothing carries it**"})
				continue
			}
			o := c.play(w, s, x)
			t.Rows = append(t.Rows, []string{
				what, at[0], at[1], wayName(w), o.messages.shown(WorkedOut, plain), o.bytes.shown(WorkedOut, bytesOf),
				o.cores.shown(WorkedOut, plain), o.inForce.shown(WorkedOut, seconds), c.eventVerdict(x, o),
			})
		}
	}
	return t
}

// eventVerdict holds the time until in force against what is allowed; of what lasts a minute or more, a proxy's bytes too.
func (c *Calculator) eventVerdict(x event, o outcome) string {
	text := verdict(o.inForce, c.t.Limits.InForceSeconds)
	rate := o.bytes.over(x.load.seconds)
	if x.load.seconds >= lasting && rate.known && rate.value > c.t.Limits.ProxyBytesASec {
		text += "; bytes: " + verdict(rate, c.t.Limits.ProxyBytesASec)
	}
	return text
}

const lasting = 60.0 // seconds
