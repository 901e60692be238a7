package logic

import (
	"fmt"
	"slices"
	"testing"
)

// A count stood at a call or two for half a minute after failures had ended, since each step up took twelve finishes.
func TestACutCountComesBackAtTheDouble(t *testing.T) {
	for _, c := range []struct {
		by    Evidence
		goal  bool // whether it does
		after int  // clean finishes that it takes from 1 to 16, a round each double
	}{{FailureEvidence, true, 3 + 4 + 8 + 12}, {PriorityEvidence, true, 3 + 4 + 8 + 12}, {LateEvidence, false, 0}} {
		t.Run(c.by.String(), func(t *testing.T) {
			r := newRule(badPart, minCount, second)
			r.count, r.peak = 20, 20
			ev := &round{allowed: badPart, span: second, by: c.by}
			r.shrink(0.05, ev)
			if r.count != 1 || r.last.Evidence != c.by {
				t.Fatalf("cut to %.1f by %v", r.count, r.last.Evidence)
			}
			n := 0
			for now := start; n < 100 && r.count < 16; n++ {
				now++
				r.judge(ev, now, now, false)
			}
			if c.goal && n != c.after || !c.goal && n != 100 {
				t.Errorf("%.1f after %d finishes", r.count, n)
			}
			if c.goal && r.count > r.goal {
				t.Errorf("%.1f, over what it was cut from", r.count)
			}
		})
	}
}

// One bad finish keeps a short round from being a good one.
func TestAShortRoundIsCleanOrNone(t *testing.T) {
	r := newRule(badPart, minCount, second)
	r.count, r.peak = 20, 20
	r.shrink(0.05, &r.fails)
	for i := range 5 {
		if f := r.judge(&r.fails, start+int64(i), start, i == 0); f != 0 || r.count != 1 {
			t.Fatalf("after %d finishes, one of them bad: %.2f, count %.1f", i+1, f, r.count)
		}
	}
}

// failFast plays n calls 5 ms apart, of a class, before servers of which the first two fail at once.
func failFast(t *testing.T, servers, n, class int) (b *Balancer, h *recorder, at map[string]int) {
	b, h = with(t, crowded(), servers)
	at = map[string]int{}
	type call struct {
		id, server string
		at         int64
	}
	var out []call
	for i := range n {
		now := start + int64(i)*5_000
		for len(out) > 0 && out[0].at <= now {
			c := out[0]
			out = out[1:]
			b.Outcome(c.at, h, Outcome{ID: c.id, Status: OK, Latency: 300_000, RequestDone: true})
		}
		id, before := fmt.Sprint("q", i), len(h.sends)
		b.Request(now, h, Request{ID: id, Class: class, Tenant: -1, ClientDeadline: now + 6*second})
		if len(h.sends) == before {
			continue
		}
		s := h.sends[before].server
		at[s]++
		if s == "s0" || s == "s1" {
			b.Outcome(now+1000, h, Outcome{ID: id, Status: Error, Latency: 1000, RequestDone: true})
		} else {
			out = append(out, call{id, s, now + 300_000})
		}
	}
	return b, h, at
}

// Servers that fail at once are always empty and drew most calls; their failures raised the usual part of failures until
// none was to blame, and counted as calls that had met no crowd.
func TestFailingServersAreOnTrial(t *testing.T) {
	for _, c := range []struct {
		class int
		most  int // calls of 3,000 that may go to the two
	}{{0, 3000/trialEvery + 40}, {2, 40}} {
		b, _, at := failFast(t, 10, 3000, c.class)
		if n := at["s0"] + at["s1"]; n > c.most {
			t.Errorf("class %d: %d calls went to servers that fail, %d expected at most", c.class, n, c.most)
		}
		f := b.Stats()
		if f.Tier.LastCut.Evidence != NoEvidence || f.Classes[c.class].LastCut.Evidence != NoEvidence {
			t.Errorf("class %d: counts were cut: %+v", c.class, f)
		}
	}
}

// Where all fail alike nobody is on trial, and the counts hold back.
func TestWhereAllFailNobodyIsToBlame(t *testing.T) {
	b, h := with(t, crowded(), 6)
	finishes(b, h, start, 300, 10_000, 100_000, func(i int) Status { return []Status{OK, Error}[i%2] })
	f := b.Stats()
	if f.Tier.LastCut.Evidence != FailureEvidence {
		t.Errorf("half of all calls fail and the tier's count was cut by %v", f.Tier.LastCut.Evidence)
	}
	out := 0
	for _, s := range b.ready {
		if s.healthFor(0) < failing {
			out++
		}
	}
	if out > 3 {
		t.Errorf("%d of 6 servers are on trial for what all do", out)
	}
}

// A failure that a server is to blame for moves no count, share or home weight, in whatever number.
func TestABlamedFailureIsNoEvidenceOfLoad(t *testing.T) {
	b, h := with(t, crowded(), 6)
	now := finishes(b, h, start, 200, 10_000, 300_000, served)
	before := b.tier
	for i := range 50 {
		id := fmt.Sprint("x", i)
		b.Request(now, h, Request{ID: id, Class: 2, Tenant: -1, ClientDeadline: now + 6*second})
		a := b.reqs[id].attempts[0]
		a.srv.inflight--
		a.srv = b.ready[0]
		a.srv.inflight++
		b.Outcome(now+1, h, Outcome{ID: id, Status: Reset, Latency: 1, RequestDone: true})
	}
	if b.tier.count != before.count || b.tier.ev.n != before.ev.n || b.tier.fails.n > before.fails.n+1 {
		t.Errorf("count %.1f, rounds of %d and %d; %.1f, %d and %d before", b.tier.count, b.tier.ev.n, b.tier.fails.n,
			before.count, before.ev.n, before.fails.n)
	}
}

// Each refusal names what it is refused by.
func TestRefusalsNameTheirCause(t *testing.T) {
	for _, c := range []struct {
		want  ShedCause
		spoil func(*Balancer, *Request)
	}{
		{ByConnections, func(_ *Balancer, r *Request) { r.ClientConnections, r.IdleClientConnections = 16, 1 }},
		{ByTierLimit, func(b *Balancer, _ *Request) { b.tier.count = -1 }},
		{ByClassLimit, func(b *Balancer, _ *Request) { b.classes[0].rule.count = -1 }},
		{ByDeadline, func(_ *Balancer, r *Request) { r.ClientDeadline = start + 1 }},
		{ByNoEndpoint, func(b *Balancer, _ *Request) { b.ready = nil }},
	} {
		b, _ := with(t, testSettings(), 2)
		r := Request{ID: "r", Tenant: -1, ClientDeadline: start + second}
		c.spoil(b, &r)
		h := &causes{b: b}
		b.Request(start, h, r)
		if len(h.got) != 1 || h.got[0] != c.want {
			t.Errorf("refused by %v, %v expected", h.got, c.want)
		}
	}
}

// causes is a Host that asks for the cause of each refusal.
type causes struct {
	recorder
	b   *Balancer
	got []ShedCause
}

func (h *causes) Shed(string, int64) { h.got = append(h.got, h.b.ShedCause()) }

// Calls that had passed at twice the share barred all others for seconds once it was cut, with hardly a call out.
func TestACutShareStillLetsItsPartPass(t *testing.T) {
	const full = 20.0 // calls a second at a multiple of 1
	for _, c := range []struct{ before, after float64 }{{2, 0.5}, {2, 1}, {1, 0.5}, {0.5, 2}, {1, 1}} {
		r, passed := &tenantRateLimit{}, 0
		for now := start; now < start+20*second; now += second / 200 {
			share := c.before
			if now >= start+10*second {
				share = c.after
			}
			if r.canPass(now, start-100*second, full, share, 0, 0.5) {
				r.pass.add(now, 1/share)
				if now >= start+10*second && now < start+12*second {
					passed++
				}
			}
		}
		if want := 2 * full * c.after; float64(passed) < 0.8*want || float64(passed) > 1.25*want+2 {
			t.Errorf("from %.1f to %.1f: %d passed in two seconds, %.0f expected", c.before, c.after, passed, want)
		}
	}
}

// tryOuts plays n calls of these classes in turn, of which those to s0 time out and all others are served at once, and returns the
// classes of those that went to s0, and for how many of these another attempt followed.
func tryOuts(t *testing.T, n int, classes ...int) (tried []int, followed int) {
	t.Helper()
	b, h := with(t, testSettings(), 4)
	b.byID["s0"].whole = outlierState{left: healthFloor, errs: 1, judged: 10}
	now := start
	for i := range n {
		now += 10_000
		id, class := fmt.Sprint("r", i), classes[i%len(classes)]
		ask(b, h, now, id, class)
		first := h.sends[len(h.sends)-1]
		if first.server != "s0" {
			b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 300_000, RequestDone: true})
			continue
		}
		tried = append(tried, class)
		if now += first.timeout; first.timeout > 500_000 {
			t.Errorf("a trial is given up after %d us, half of a second at most expected", first.timeout)
		}
		before := len(h.sends)
		b.Outcome(now, h, Outcome{ID: id, Status: TimedOut, Latency: first.timeout})
		if len(h.sends) > before {
			followed++
			b.Outcome(now, h, Outcome{ID: id, Attempt: 1, Status: OK, Latency: 300_000, RequestDone: true})
		}
	}
	return tried, followed
}

// Where calls take nearly all of their time, a trial of a server that hangs took it all, and each sixteenth request was lost by it.
func TestATrialLeavesTimeForAnotherAttempt(t *testing.T) {
	if tried, followed := tryOuts(t, 2_000, 0); len(tried) < 20 || followed < len(tried) {
		t.Errorf("another attempt followed %d of %d trials", followed, len(tried))
	}
}

// A trial by a request whose repeat may go to few others risks that request.
func TestTrialsGoOutWithRequestsThatMayBeRepeatedAnywhere(t *testing.T) {
	tried, _ := tryOuts(t, 6_000, 0, 1, 2)
	byFirst := len(slices.DeleteFunc(slices.Clone(tried), func(class int) bool { return class != 0 }))
	if len(tried) < 20 || 3*byFirst < 2*len(tried) {
		t.Errorf("trials with requests of the classes %v, two in three of the first at least expected", tried)
	}
	if tried, _ := tryOuts(t, 2_000, 1, 2); len(tried) < 5 {
		t.Errorf("%d trials where no request may be repeated anywhere", len(tried))
	}
}
