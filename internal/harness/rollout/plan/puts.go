package plan

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fernlanding/internal/distribution"
)

const (
	// putStream is the stream of the random generator for puts. Stream 1 is used for the schedule.
	putStream = 2
	// finalPutDelay is the time from the end of the faults to the last puts. The delay ensures that
	// the last puts come after puts that a fault has delayed.
	finalPutDelay = time.Second
)

// Put is one write of the publisher.
type Put struct {
	At      time.Duration   `json:"at"` // time since the beginning of the faults; negative means before it
	ID      string          `json:"id"`
	Urgent  bool            `json:"urgent,omitempty"`
	Retry   bool            `json:"insist,omitempty"` // the put is retried until it is answered
	Request json.RawMessage `json:"request"`          // encoded distribution.PutRequest
	request distribution.PutRequest
}

// RejectKey is the key of an item whose value is the name of a follower. The named follower rejects
// every version with that item.
const RejectKey = "refused-by"

// putGenerator draws the puts of a run. The order of the draws must not change: it determines which
// puts a seed gives.
type putGenerator struct {
	sc        *Scenario
	random    *rand.Rand
	keys      []map[string]bool // keys of the items of each resource
	puts      []Put
	lastValue int // number of the last value; each value has a different number
}

// InitialPuts returns the puts that create all resources before the run begins.
func (sc *Scenario) InitialPuts() []Put {
	g := sc.newPutGenerator()
	g.addSnapshots(0, "first")
	return g.encoded()
}

// Puts returns the puts of a run, sorted by time. The last puts, which come after all faults,
// replace each resource.
func (sc *Scenario) Puts() []Put {
	g := sc.newPutGenerator()
	if sc.Publisher.Rate > 0 {
		interval := time.Duration(float64(time.Second) / sc.Publisher.Rate)
		for at := interval; at < sc.Duration; at += interval {
			g.addWrites(at)
		}
	}
	g.addSnapshots(sc.Duration+finalPutDelay, "last")
	return g.encoded()
}

// newPutGenerator returns a generator that assumes that every resource has all its items.
func (sc *Scenario) newPutGenerator() *putGenerator {
	g := &putGenerator{sc: sc, random: rand.New(rand.NewPCG(sc.Seed, putStream))}
	for range sc.Publisher.Resources {
		keys := make(map[string]bool)
		for i := range sc.Publisher.Items {
			keys[itemKey(i)] = true
		}
		g.keys = append(g.keys, keys)
	}
	return g
}

// addWrites adds one put, or two concurrent puts to one resource.
func (g *putGenerator) addWrites(at time.Duration) {
	resource := g.random.IntN(g.sc.Publisher.Resources)
	g.addWrite(at, resource)
	if g.random.Float64() < g.sc.Publisher.ConcurrentPuts {
		g.addWrite(at, resource)
	}
}

// addWrite adds a put that changes some items. An urgent put deletes an item. A put that is to be
// rejected has the item RejectKey.
func (g *putGenerator) addWrite(at time.Duration, resource int) {
	publisher := &g.sc.Publisher
	keys := g.keys[resource]
	urgent := g.random.Float64() < publisher.Urgent
	rejected := g.random.Float64() < publisher.Rejected
	var items []distribution.Item
	if keys[RejectKey] {
		delete(keys, RejectKey)
		items = append(items, distribution.Item{Key: RejectKey, Deleted: true})
	} else if rejected {
		keys[RejectKey] = true
		names := g.sc.FollowerNames()
		items = append(items, distribution.Item{Key: RejectKey, Value: quote(names[g.random.IntN(len(names))])})
	}
	for _, n := range g.random.Perm(publisher.Items)[:min(publisher.Changes, publisher.Items)] {
		key := itemKey(n)
		if urgent && keys[key] {
			urgent = false
			delete(keys, key)
			items = append(items, distribution.Item{Key: key, Deleted: true, Urgent: true})
			continue
		}
		keys[key] = true
		items = append(items, g.newItem(key))
	}
	g.add(at, "put", distribution.PutRequest{Resource: ResourceName(resource), Items: items})
}

// addSnapshots adds puts that replace each resource, 1 ms apart.
func (g *putGenerator) addSnapshots(at time.Duration, idPrefix string) {
	for n := range g.sc.Publisher.Resources {
		var items []distribution.Item
		for i := range g.sc.Publisher.Items {
			items = append(items, g.newItem(itemKey(i)))
		}
		request := distribution.PutRequest{Resource: ResourceName(n), Replace: true, Items: items}
		g.add(at+time.Duration(n)*time.Millisecond, idPrefix, request)
	}
}

// add adds a put.
func (g *putGenerator) add(at time.Duration, idPrefix string, request distribution.PutRequest) {
	g.puts = append(g.puts, Put{
		At:      at,
		ID:      fmt.Sprintf("%s-%d", idPrefix, len(g.puts)+1),
		Urgent:  slices.ContainsFunc(request.Items, func(i distribution.Item) bool { return i.Urgent }),
		Retry:   request.Replace,
		request: request,
	})
}

// encoded returns the puts with their requests as JSON.
func (g *putGenerator) encoded() []Put {
	for i := range g.puts {
		g.puts[i].Request, _ = json.Marshal(g.puts[i].request) // never fails: the request has only strings and numbers
	}
	return g.puts
}

// newItem returns an item with a value that differs from all values before.
func (g *putGenerator) newItem(key string) distribution.Item {
	g.lastValue++
	n := g.lastValue
	value := fmt.Sprintf(`{"address":"10.0.%d.%d:8080","weight":%d}`, n/250%250, n%250, n)
	return distribution.Item{Key: key, Value: json.RawMessage(value)}
}

// itemKey returns the key of item n, counted from 0.
func itemKey(n int) string { return fmt.Sprintf("backend-%03d", n+1) }

// quote returns a string as JSON.
func quote(s string) json.RawMessage { return json.RawMessage(strconv.Quote(s)) }
