package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	scheduleStream = 1 // of the seed
	leastFault     = 100 * time.Millisecond
	mostShare      = 0.6 // of a group that a drawn fault acts on
)

// Schedule is every fault of the run with the names of what it acts on: those that stand in the scenario, and those that it
// has drawn, by their times. The same seed gives the same schedule.
func (x *Scenario) Schedule() (out []Fault) {
	return DrawSchedule(x.Seed, x.Faults, x.Random.Count, x.draw, x.chosen)
}

// DrawSchedule is the faults that are stated and as many drawn ones, each with the names of all that it acts on, by their times. The same
// seed gives the same schedule.
func DrawSchedule(seed uint64, stated []Fault, drawn int, draw func(*rand.Rand) Fault, chosen func(Fault, *rand.Rand) []string) (out []Fault) {
	rnd := rand.New(rand.NewPCG(seed, scheduleStream))
	for _, f := range stated {
		f.Names = chosen(f, rnd)
		out = append(out, f)
	}
	for range drawn {
		f := draw(rnd)
		f.Names = chosen(f, rnd)
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// chosen are the names of those that a fault acts on.
func (x *Scenario) chosen(f Fault, rnd *rand.Rand) (out []string) {
	if len(f.Names) > 0 {
		return f.Names
	}
	group := x.Names(f.Group)
	if f.CrossSite {
		group = slices.Concat(x.Names(OnSidecars), x.Names(OnBackends), x.Names(OnLists))
	}
	for _, n := range group {
		if f.Site == "" || x.SiteOf(n) == f.Site || f.Group == OnLists {
			out = append(out, n)
		}
	}
	return DrawShare(out, f.Share, rnd)
}

// DrawShare draws a part of the names, one at least, and sorts them by their numbers; a share that is not between 0 and 1 is all of them.
// The names given are put into another order.
func DrawShare(names []string, share float64, rnd *rand.Rand) []string {
	if share <= 0 || share >= 1 {
		return names
	}
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:max(1, int(share*float64(len(names))+0.5))]
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	return names
}

// draw draws one fault.
func (x *Scenario) draw(rnd *rand.Rand) Fault {
	r := x.Random
	f := Fault{Kind: r.Kinds[rnd.IntN(len(r.Kinds))], Direction: BothDirections, Share: 0.1 + rnd.Float64()*(mostShare-0.1), Bytes: rnd.IntN(300)}
	f.Duration = min(leastFault+time.Duration(rnd.Int64N(int64(r.MaxDuration))), r.Until-r.From).Round(time.Millisecond)
	f.At = (r.From + time.Duration(rnd.Int64N(int64(r.Until-r.From-f.Duration)+1))).Round(time.Millisecond)
	f.At = min(f.At, x.Duration-f.Duration)
	switch kindTargets[f.Kind] {
	case onLinks:
		f.Link, f.Group = links[rnd.IntN(len(links))], OnSidecars
		if f.Kind == OneWay || f.Kind == Delay || f.Kind == Hold || f.Kind == Half {
			f.Direction = []string{ToServer, ToClient}[rnd.IntN(2)]
		}
		if f.Kind == Delay {
			f.Delay, f.Jitter = time.Duration(1+rnd.IntN(1000))*time.Millisecond, time.Duration(rnd.IntN(200))*time.Millisecond
		}
		if f.Kind == Slow {
			f.Rate = 100 + rnd.IntN(20_000)
		}
	case onProcesses:
		f.Group = OnSidecars
	case onLists:
		f.Group, f.Share = OnLists, 0
	case onBackends:
		f.Group = OnBackends
	}
	return f
}

// With is the scenario with a schedule of its own and nothing drawn.
func (x *Scenario) With(faults []Fault) *Scenario {
	y := *x
	y.Faults, y.Random = faults, Random{}
	return &y
}

// Text is a schedule as a scenario file has it.
func Text(faults []Fault) string {
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintf(&b, "[[faults]]\nat = %q\nfor = %q\nkind = %q\n", f.At, f.Duration, f.Kind)
		if kindTargets[f.Kind] == onLinks {
			fmt.Fprintf(&b, "link = %q\non = %q\nway = %q\n", f.Link, f.Group, f.Direction)
		} else if kindTargets[f.Kind] == onProcesses {
			fmt.Fprintf(&b, "on = %q\n", f.Group)
		}
		var names []string
		for _, n := range f.Names {
			names = append(names, strconv.Quote(n))
		}
		if len(names) > 0 {
			fmt.Fprintf(&b, "names = [%s]\n", strings.Join(names, ", "))
		}
		if f.CrossSite {
			fmt.Fprintf(&b, "site = %q\nacross = true\n", f.Site)
		}
		if f.Group == OnSites {
			fmt.Fprintf(&b, "site = %q\n", f.Site)
		}
		if f.KeepListed {
			b.WriteString("unnoticed = true\n")
		}
		if f.Delay+f.Jitter > 0 {
			fmt.Fprintf(&b, "delay = %q\njitter = %q\n", f.Delay, f.Jitter)
		}
		if f.Kind == Hold {
			fmt.Fprintf(&b, "bytes = %d\n", f.Bytes)
		}
		if f.Kind == Slow {
			fmt.Fprintf(&b, "rate = %d\n", f.Rate)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Shrink leaves out faults for as long as what is left still fails: first large parts, then single ones (delta debugging, as
// Zeller and Hildebrandt describe it). found is false where the whole schedule does not fail.
func Shrink(all []Fault, fails func([]Fault) bool) (least []Fault, found bool) {
	if !fails(all) {
		return nil, false
	}
	if len(all) > 0 && fails(nil) {
		return nil, true
	}
	for part := max(1, len(all)/2); len(all) > 1; {
		cut := false
		for from := 0; from < len(all) && len(all) > 1; {
			to := min(from+part, len(all))
			if rest := slices.Concat(all[:from], all[to:]); len(rest) > 0 && fails(rest) {
				all, cut = rest, true
			} else {
				from = to
			}
		}
		if !cut {
			if part == 1 {
				break
			}
			part = max(1, part/2)
		}
	}
	return all, true
}
