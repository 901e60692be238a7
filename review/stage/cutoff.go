package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	cutProxies  = 6
	cutBackends = 10
	cutSilent   = 2 // a fifth of the backends
	cutLength   = 6 * time.Second
	cutRate     = 120.0 // requests a second over all proxies
	cutWindow   = 2 * time.Second
)

// pods are what the backends of each pod recall: they drop a repeat of a key for the window.
type pods struct {
	mu   sync.Mutex
	last map[string]time.Time // when a key last ran, by pod and key
	runs map[string][]string  // what ran for a key
}

// run reports whether a request with a key runs, or is dropped as a repeat.
func (p *pods) run(a *Attempt, at string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprint(a.Cell, " ", a.Key)
	now := time.Now()
	if last, ok := p.last[name]; ok && now.Sub(last) < cutWindow {
		return false
	}
	p.last[name] = now
	p.runs[a.Key] = append(p.runs[a.Key], fmt.Sprintf("%s (pod %d) at %s", a.Backend, a.Cell, at))
	return true
}

// cutOff: a fifth of the backends is cut off for six seconds, twice.
func cutOff(w *World, trouble bool) []string {
	usage.Window = cutWindow
	p := &pods{last: map[string]time.Time{}, runs: map[string][]string{}}
	answer := serveAfter(exp(80*time.Millisecond), 200)
	reply := func(b *Backend, c net.Conn, a *Attempt, body []byte) (string, bool, bool) {
		what := ""
		if a.Key != "" {
			if what = "dropped as a repeat, "; p.run(a, w.at(a.Begun)) {
				what = "ran, "
			}
		}
		result, may, keep := answer(b, c, a, body)
		return what + result, may, keep
	}
	var relays []*Relay
	var members []Member
	for i := range cutBackends {
		b := w.newBackend(fmt.Sprintf("s-%d", i), i%2, reply)
		m := b.member("SERVING")
		if i < cutSilent {
			r := newRelay(b.Addr)
			relays = append(relays, r)
			m.Address = r.Addr
		}
		members = append(members, m)
	}
	var proxies []*Proxy
	for i := range cutProxies {
		agent := newAgent(members)
		name := fmt.Sprintf("p%d", i)
		proxies = append(proxies, w.startProxy(name, config(name, freeAddr(), agent.Addr, cutProxies, i, agent.List())))
	}
	begin := time.Now()
	if trouble {
		for _, at := range []time.Duration{8 * time.Second, 22 * time.Second} {
			time.AfterFunc(at, func() {
				w.log("network  s-0 and s-1 are cut off")
				for _, r := range relays {
					go r.cut()
				}
			})
			time.AfterFunc(at+cutLength, func() {
				w.log("network  s-0 and s-1 are back")
				for _, r := range relays {
					go r.back()
				}
			})
		}
	}
	k := newClients(w)
	for time.Since(begin) < 32*time.Second {
		time.Sleep(time.Duration(rand.ExpFloat64() / cutRate * float64(time.Second)))
		k.wg.Go(func() {
			kind := tariff
			if x := rand.Float64(); x > 0.88 {
				kind = charge
			} else if x > 0.56 {
				kind = usage
			}
			k.do(proxies[rand.IntN(len(proxies))].Addr, kind, kind.Deadline, 0, []byte("record"))
		})
	}
	k.wg.Wait()
	time.Sleep(time.Second)
	status := map[string]int{}
	ids := map[string]string{}
	for _, q := range k.all {
		status[fmt.Sprintf("%s %d", q.Kind.Name, q.Status)]++
		ids[q.Key] = q.ID
	}
	fmt.Println("answers by class:", status)
	w.log("judge    answers by class: %v", status)
	if len(k.all) < 500 {
		fatal("only %d requests", len(k.all))
	}
	var broken []string
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, runs := range p.runs {
		if len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("usage-rate %s ran %d times: %v", ids[key], len(runs), runs))
		}
	}
	return broken
}
