package predict

import (
	"fmt"
)

// Curve is what a proxy costs by the number of services that it follows, and where each budget breaks.
func (c *Calculator) Curve() Table {
	t := Table{Head: []string{"services followed", "endpoints", "connections to backends", "consul: bytes", "processor", "memory", "distribution: bytes", "processor", "memory"}}
	breaks := map[string]string{}
	for _, n := range c.t.Curve {
		for _, largest := range []bool{false, true} {
			t.Rows = append(t.Rows, c.curveRow(n, largest, breaks))
		}
	}
	for _, largest := range []bool{false, true} {
		for _, w := range ways() {
			t.Notes = append(t.Notes, c.breaksNote(w, largest, breaks))
		}
	}
	return t
}

// follower is a fleet whose proxies all follow n services: typical ones, or the n largest.
func (c *Calculator) follower(n int, largest bool) (s *shape, endpoints float64) {
	f := c.t.Target
	f.ServicesFollowed = min(float64(n), float64(f.Services))
	s = shapeOf(f, c.t)
	if !largest {
		return s, s.endpointsFollowed()
	}
	for i := range s.followed {
		s.followed[i] = 0
		if i < n {
			s.followed[i] = 1
		}
	}
	return s, s.largestEndpoints(n)
}

func (c *Calculator) curveRow(n int, largest bool, breaks map[string]string) []string {
	kind := "typical"
	if largest {
		kind = "the largest"
	}
	s, endpoints := c.follower(n, largest)
	connections := s.connectionsOut()
	row := []string{fmt.Sprintf("%d, %s", n, kind), short(endpoints) + " w", short(connections) + " w"}
	note(breaks, "", largest, "descriptors", n, connections > c.t.Get(Descriptors))
	for _, w := range ways() {
		p := c.proxyNeeds(w, c.ordinaryDrivers(s))
		row = append(row, p.bytes.shown(WorkedOut, bytesASecond), p.cores.shown(WorkedOut, percent), p.memory.shown(WorkedOut, bytesOf))
		note(breaks, w, largest, "bytes", n, p.bytes.value > c.t.Limits.ProxyBytesASec)
		note(breaks, w, largest, "processor", n, p.cores.value > c.t.Limits.ProxyCores)
		note(breaks, w, largest, "memory", n, p.memory.value > c.t.Limits.ProxyBytes)
	}
	return row
}

func breakKey(w way, largest bool, budget string) string { return fmt.Sprint(w, largest, budget) }

// note keeps the first number of services at which a budget breaks.
func note(breaks map[string]string, w way, largest bool, budget string, n int, broken bool) {
	key := breakKey(w, largest, budget)
	if broken && breaks[key] == "" {
		breaks[key] = fmt.Sprint(n)
	}
}

func (c *Calculator) breaksNote(w way, largest bool, breaks map[string]string) string {
	kind := "typical services"
	if largest {
		kind = "the largest services"
	}
	text := fmt.Sprintf("By %s, following %s, it breaks on the curve", wayName(w), kind)
	if c.e.models[w] == nil {
		return text + ": not measured."
	}
	at := func(name string, w way) string {
		if n := breaks[breakKey(w, largest, name)]; n != "" {
			return fmt.Sprintf("%s at %s", name, n)
		}
		return name + " nowhere"
	}
	return fmt.Sprintf("%s: %s, %s, %s, %s.", text, at("bytes", w), at("processor", w), at("memory", w), at("descriptors", ""))
}
