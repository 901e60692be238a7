package fleetsim

import (
	"fernlanding/logic"
	"math"
)

const goneAfter = 6_000_000 // microseconds that a draining backend stays for what it has

// cause sets a trouble's events.
func (f *fleet) cause(t *Trouble) {
	from, to := t.At.micros(), t.At.micros()+t.For.micros()
	during := func(on, off func(*backend)) {
		var hit []*backend
		f.at(from, func() {
			hit = f.hit(t)
			for _, b := range hit {
				b.set(func() { on(b) })
			}
		})
		f.at(to, func() {
			for _, b := range hit {
				b.set(func() { off(b) })
			}
		})
	}
	switch t.Kind {
	case Slow:
		during(func(b *backend) { b.slow = t.Times }, func(b *backend) { b.slow = 1 })
	case Hang:
		during(func(b *backend) { b.hung = true }, func(b *backend) { b.hung = false })
	case Fail:
		only := f.day.class(t.Class)
		during(func(b *backend) { b.fail, b.failOnly = t.Share, only }, func(b *backend) { b.fail = 0 })
	case Spoil:
		during(func(b *backend) { b.spoil = t.Share }, func(b *backend) { b.spoil = 0 })
	case Kill:
		during(func(b *backend) { f.kill(b) }, func(b *backend) { f.revive(b) })
	case Hot:
		f.at(from, func() { f.hot = t.Share })
		f.at(to, func() { f.hot = 0 })
	case Release:
		f.oneByOne(t, func(b *backend) {
			n := f.start(b.tier, b.index, b.kind, max(1, f.now))
			f.tell(n)
			f.drain(b)
		})
	case Shrink:
		f.oneByOne(t, f.drain)
	case Restart:
		n := int64(len(f.front))
		for i := range f.front {
			f.at(from+(to-from)*int64(i)/n, func() {
				// What the old copy holds it ends; it gets nothing new.
				f.front[i] = f.fresh(0, i, len(f.front))
			})
		}
	}
}

// hit are the backends that a trouble is about.
func (f *fleet) hit(t *Trouble) []*backend {
	var ready []*backend
	for _, b := range f.backends[t.Tier] {
		if !b.dead && b.state == logic.Ready {
			ready = append(ready, b)
		}
	}
	n := int(math.Round(t.Part * float64(len(ready))))
	n = min(max(1, n), len(ready))
	first := min(t.First, len(ready)-n)
	return ready[first : first+n]
}

// oneByOne does something to the trouble's backends, spread over its time.
func (f *fleet) oneByOne(t *Trouble, do func(*backend)) {
	f.at(t.At.micros(), func() {
		hit := f.hit(t)
		for i, b := range hit {
			f.after(t.For.micros()*int64(i)/int64(len(hit)), func() { do(b) })
		}
	})
}

// drain has a backend take nothing new; its process ends once it is empty.
func (f *fleet) drain(b *backend) {
	if b.dead || b.state != logic.Ready {
		return
	}
	b.settle()
	b.state = logic.Draining
	f.tell(b)
	until := f.now + goneAfter
	var check func()
	check = func() {
		if b.slots+len(b.waiting) > 0 && f.now < until {
			f.after(lookEvery, check)
			return
		}
		b.state = logic.Removed
		f.tell(b)
		f.after(goneAfter, func() { f.remove(b) }) // attempts may be on their way
	}
	// Until the copies know, requests go on coming: the backend turns them away.
	f.after(int64(1.6*float64(f.day.Network.Notice.micros())), check)
}

// remove ends a backend's process.
func (f *fleet) remove(b *backend) {
	b.die()
	for i, x := range f.backends[b.tier] {
		if x == b {
			f.backends[b.tier] = append(f.backends[b.tier][:i:i], f.backends[b.tier][i+1:]...)
			break
		}
	}
}

func (f *fleet) kill(b *backend) {
	b.die()
	f.announce(b, logic.Removed)
}

func (f *fleet) revive(b *backend) {
	if b.state != logic.Ready {
		return
	}
	b.dead, b.launched, b.over, b.held, b.hung, b.slow, b.fail, b.spoil = false, f.now, false, 0, false, 1, 0, 0
	b.clockAt = f.now
	if b.tier+1 < len(f.day.Tiers) {
		b.copy = f.fresh(b.tier+1, b.index, f.day.countOf(b.tier))
	}
	f.tell(b)
}
