package plan

import (
	"encoding/json"
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/scenario"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// putStream is of the seed; the first one is that of the schedule.
const putStream = 2

const (
	leastFault = 300 * time.Millisecond
	leastSlow  = 200         // bytes a second
	lastAfter  = time.Second // from the end of the faults to the last puts: those that a fault has held up come before
)

// Schedule is every fault with the names of all that it acts on: those that stand in the scenario and those that it has
// drawn, by their times. The same seed gives the same schedule.
func (x *Scenario) Schedule() (out []Fault) {
	return x.apart(scenario.DrawSchedule(x.Seed, x.Faults, x.Random.Count, x.draw, x.chosen))
}

// apart leaves out faults that would act on a process which another one has killed or stopped at the time.
func (x *Scenario) apart(faults []Fault) (out []Fault) {
	busy := map[string]time.Duration{}
	for _, f := range faults {
		if IsOfLinks(f.Kind) {
			out = append(out, f)
			continue
		}
		f.Names = slices.DeleteFunc(slices.Clone(f.Names), func(name string) bool { return f.At <= busy[name] })
		for _, name := range f.Names {
			busy[name] = f.At + f.For
		}
		if len(f.Names) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// chosen are the names of those that a fault acts on.
func (x *Scenario) chosen(f Fault, rnd *rand.Rand) []string {
	if len(f.Names) > 0 {
		return f.Names
	}
	var names []string
	for _, name := range x.callers(f) {
		if f.Site == "" || x.ZoneOf(name) == f.Site {
			names = append(names, name)
		}
	}
	return scenario.DrawShare(names, f.Share, rnd)
}

// draw draws one fault.
func (x *Scenario) draw(rnd *rand.Rand) Fault {
	r := x.Random
	f := Fault{Kind: r.Kinds[rnd.IntN(len(r.Kinds))], Way: scenario.Both, Share: 0.1 + 0.8*rnd.Float64()}
	f.For = min(leastFault+time.Duration(rnd.Int64N(int64(r.Long))), r.Until-r.From).Round(time.Millisecond)
	f.At = (r.From + time.Duration(rnd.Int64N(int64(r.Until-r.From-f.For)+1))).Round(time.Millisecond)
	switch {
	case f.Kind == Between:
		f.On = OnPublisher
	case f.Kind == Restart:
		f.On = OnFollowers
	case IsOfLinks(f.Kind):
		f.Link = linkNames[rnd.IntN(len(linkNames))]
		f.On = map[string]string{FollowersToZones: OnFollowers, ZonesToRegions: OnZones, RegionsToSource: OnRegions, PublisherToSource: OnPublisher}[f.Link]
		if f.Kind == scenario.OneWay {
			f.Way = []string{scenario.There, scenario.Back}[rnd.IntN(2)]
		}
		f.Delay = time.Duration(1+rnd.IntN(1000)) * time.Millisecond
		f.More = time.Duration(rnd.IntN(200)) * time.Millisecond
		f.Rate = leastSlow + rnd.IntN(20_000)
	default:
		f.On = groupNames[rnd.IntN(len(groupNames))]
	}
	return f
}

// Put is one write of the publisher.
type Put struct {
	At      time.Duration   `json:"at"` // from the beginning of the faults; negative: before it
	ID      string          `json:"id"`
	Urgent  bool            `json:"urgent,omitempty"`
	Insist  bool            `json:"insist,omitempty"` // it is sent again until it is answered
	Request json.RawMessage `json:"request"`          // a distribution.PutRequest
	request distribution.PutRequest
}

// RefuseKey is the key of the item whose value names a follower that does not put its resource in force.
const RefuseKey = "refused-by"

// publishing draws the puts of a run.
type publishing struct {
	x    *Scenario
	rnd  *rand.Rand
	has  []map[string]bool // keys of each resource
	out  []Put
	next int // number for a value that differs from all before
}

// First are the puts that fill all resources before the run begins.
func (x *Scenario) First() []Put {
	p := x.newPublishing()
	p.whole(0, "first")
	return p.finish()
}

// Puts are the puts of a run, by their times. The last ones, when all faults are over, write each resource whole.
func (x *Scenario) Puts() []Put {
	p := x.newPublishing()
	if x.Publisher.Rate > 0 {
		each := time.Duration(float64(time.Second) / x.Publisher.Rate)
		for at := each; at < x.For; at += each {
			p.write(at)
		}
	}
	p.whole(x.For+lastAfter, "last")
	return p.finish()
}

func (x *Scenario) newPublishing() *publishing {
	p := &publishing{x: x, rnd: rand.New(rand.NewPCG(x.Seed, putStream))}
	for range x.Publisher.Resources {
		has := map[string]bool{}
		for i := range x.Publisher.Items {
			has[itemKey(i)] = true
		}
		p.has = append(p.has, has)
	}
	return p
}

// write draws one put, or two to one resource that begin at the same time.
func (p *publishing) write(at time.Duration) {
	resource := p.rnd.IntN(p.x.Publisher.Resources)
	p.one(at, resource)
	if p.rnd.Float64() < p.x.Publisher.Twins {
		p.one(at, resource)
	}
}

func (p *publishing) one(at time.Duration, resource int) {
	has := p.has[resource]
	urgent := p.rnd.Float64() < p.x.Publisher.Urgent
	refused := p.rnd.Float64() < p.x.Publisher.Refused
	var items []distribution.Item
	if has[RefuseKey] {
		delete(has, RefuseKey)
		items = append(items, distribution.Item{Key: RefuseKey, Deleted: true})
	} else if refused {
		has[RefuseKey] = true
		names := p.x.FollowerNames()
		items = append(items, distribution.Item{Key: RefuseKey, Value: quote(names[p.rnd.IntN(len(names))])})
	}
	for _, n := range p.rnd.Perm(p.x.Publisher.Items)[:min(p.x.Publisher.Changes, p.x.Publisher.Items)] {
		key := itemKey(n)
		if urgent && has[key] {
			urgent = false
			delete(has, key)
			items = append(items, distribution.Item{Key: key, Deleted: true, Urgent: true})
			continue
		}
		has[key] = true
		items = append(items, p.item(key))
	}
	p.add(at, "put", distribution.PutRequest{Resource: ResourceName(resource), Items: items})
}

// whole writes all resources whole.
func (p *publishing) whole(at time.Duration, what string) {
	for r := range p.x.Publisher.Resources {
		var items []distribution.Item
		for i := range p.x.Publisher.Items {
			items = append(items, p.item(itemKey(i)))
		}
		p.add(at+time.Duration(r)*time.Millisecond, what, distribution.PutRequest{Resource: ResourceName(r), Replace: true, Items: items})
	}
}

func (p *publishing) add(at time.Duration, what string, request distribution.PutRequest) {
	urgent := slices.ContainsFunc(request.Items, func(i distribution.Item) bool { return i.Urgent })
	p.out = append(p.out, Put{At: at, ID: fmt.Sprintf("%s-%d", what, len(p.out)+1), Urgent: urgent, Insist: request.Replace, request: request})
}

func (p *publishing) finish() []Put {
	for i := range p.out {
		p.out[i].Request, _ = json.Marshal(p.out[i].request) // strings and numbers only: it can't fail
	}
	return p.out
}

// item is an item with a value that no put before has had.
func (p *publishing) item(key string) distribution.Item {
	p.next++
	return distribution.Item{Key: key, Value: json.RawMessage(fmt.Sprintf(`{"address":"10.0.%d.%d:8080","weight":%d}`, p.next/250%250, p.next%250, p.next))}
}

func itemKey(n int) string { return fmt.Sprintf("backend-%03d", n+1) }

func quote(s string) json.RawMessage { return json.RawMessage(strconv.Quote(s)) }
