// Package fleetsim plays days of a whole fleet on a virtual clock: tiers of backends, the copies of the decision module
// before them, clients that come again, and troubles. Every copy is a real logic.Balancer; nothing else decides.
//
// A day is a pure function of its description and its seed: no goroutine, no clock, no global state. What the backends
// are is said in docs/design/recovery.md with the closed forms that they are tested against.
package fleetsim

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a day's description.
const (
	MaxFile     = 1 << 20 // bytes
	maxLength   = 10 * time.Minute
	maxBackends = 500 // of a tier
	maxCopies   = 200
	maxTiers    = 5
	maxNames    = 64 // classes, tenants, troubles
	maxAsked    = 1_000_000
	maxCalls    = 10_000_000 // of all tiers, each request's first attempt
)

// Span is a length of time, in TOML as Go writes it: "1.5s".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("found %q, a time such as \"1.5s\" expected", text)
	}
	*s = Span(d)
	return nil
}

func (s Span) micros() int64  { return time.Duration(s).Microseconds() }
func (s Span) String() string { return time.Duration(s).String() }
func seconds(n float64) Span  { return Span(n * float64(time.Second)) }
func (s Span) within(lo, hi time.Duration) bool {
	return time.Duration(s) >= lo && time.Duration(s) <= hi
}

// Day describes a day. The zero value of a field that has a default stands for it.
type Day struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed"`
	Length Span   `toml:"length"` // 40s
	Warmup Span   `toml:"warmup"` // what comes before is not counted; 3s
	// Rate is first tries a second; where it is 0, Load gives it as a part of what the narrowest tier can do.
	Rate    float64   `toml:"rate"`
	Load    float64   `toml:"load"`
	Wave    float64   `toml:"wave"`       // the rate swings by this part, with a period of 11 s
	Noise   float64   `toml:"noise"`      // of an attempt's work: the deviation of its logarithm
	Over    float64   `toml:"over_worth"` // worth of a request beyond its tenant's share; 0.05
	Quota   float64   `toml:"quota"`      // sum of all shares, as a part of the capacity; 0.6
	Classes []Class   `toml:"classes"`
	Tenants []Tenant  `toml:"tenants"`
	Tiers   []Tier    `toml:"tiers"`
	Clients Clients   `toml:"clients"`
	Network Network   `toml:"network"`
	Trouble []Trouble `toml:"trouble"`
}

// Class is a class of requests.
type Class struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"` // of all requests
	Work     Span    `toml:"work"`  // mean of one core of speed 1, over all tiers' parts
	CV       float64 `toml:"cv"`    // of the work: 0 is even, 1 exponential
	Aim      Span    `toml:"aim"`
	Deadline Span    `toml:"deadline"`
	Late     float64 `toml:"late_worth"`
	Repeat   string  `toml:"repeat"` // safe, keyed or unsafe
	Window   Span    `toml:"window"` // of keyed
}

// Tenant is an origin of requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the quota
	Usage float64 `toml:"usage"` // of its share that it sends, before the whole is scaled to the rate; 1
}

// Tier is a tier of backends. The copies of later tiers stand beside the backends of the tier before.
type Tier struct {
	Name   string  `toml:"name"`
	Copies int     `toml:"copies"` // of the first tier; 2
	Work   float64 `toml:"work"`   // part of a class's work for each call
	Calls  float64 `toml:"calls"`  // to this tier for each request of the tier before, one after another; 1
	Cells  int     `toml:"cells"`  // groups that drop repeats between them; 2
	Kinds  []Kind  `toml:"kinds"`

	// A backend that holds more than cores + at x root of cores requests, in the mean of OverFor, turns Slower times
	// slower until fewer than Below of its cores were busy for Rest, or Most is up. Slower 0: never.
	OverAt  float64 `toml:"over_at"`
	OverFor Span    `toml:"over_for"`
	Slower  float64 `toml:"slower"`
	Below   float64 `toml:"below"`
	Rest    Span    `toml:"rest"`
	Most    Span    `toml:"most"`

	ColdFrom float64 `toml:"cold_from"` // part of its capacity that a backend starts with; 0.35
	Warm     Span    `toml:"warm"`      // and when it has all of it; 6s
}

// Kind is a number of like backends.
type Kind struct {
	Count   int     `toml:"count"`
	Cores   int     `toml:"cores"`   // 2
	Speed   float64 `toml:"speed"`   // of a core; 1
	Slots   int     `toml:"slots"`   // requests at once, which share the cores; cores if 0
	Waiting int     `toml:"waiting"` // and that wait for a slot; 20 a core if 0; what comes then is turned away
}

// Clients is how clients come again.
type Clients struct {
	Retries int     `toml:"retries"`
	Backoff Span    `toml:"backoff"` // 0: at once
	Honour  float64 `toml:"honour"`  // part of the clients that wait as long as a refusal says
	Try     float64 `toml:"try"`     // part of the deadline after which a try is given up; 1
}

// Network is the time that things take on their way, each drawn evenly from half to one and a half times.
type Network struct {
	Hop    Span `toml:"hop"`    // one way; 200us
	Notice Span `toml:"notice"` // until a copy is told of a change; 1.5s
}

// Trouble is something that goes wrong.
type Trouble struct {
	Kind   string  `toml:"kind"` // see Kinds
	At     Span    `toml:"at"`
	For    Span    `toml:"for"`
	Tier   int     `toml:"tier"`
	Part   float64 `toml:"part"`   // of the tier's backends, or of the copies; one at least
	First  int     `toml:"first"`  // of the backends in trouble
	Times  float64 `toml:"times"`  // how many times slower, or as many requests
	Share  float64 `toml:"share"`  // of answers spoilt or failed (1), or of all traffic for hot (0.25)
	Class  string  `toml:"class"`  // of fail: this class alone
	Tenant string  `toml:"tenant"` // of burst: this one alone
}

// The kinds of trouble.
const (
	Slow    = "slow"    // backends take Times as long
	Hang    = "hang"    // they take requests and answer none
	Fail    = "fail"    // they answer an error at once, unserved
	Spoil   = "spoil"   // a Share of what they have done comes back as an error
	Kill    = "kill"    // their processes die, unannounced; new ones start at the end
	Burst   = "burst"   // Times as many requests, of all or of one tenant
	Hot     = "hot"     // one copy gets a Share of all traffic
	Release = "release" // all backends are replaced, one after another
	Shrink  = "shrink"  // a Part of the backends is drained, and stays away
	Restart = "restart" // the copies of the first tier are replaced by fresh ones, one after another
)

// Kinds are the kinds of trouble.
func Kinds() []string {
	return []string{Slow, Hang, Fail, Spoil, Kill, Burst, Hot, Release, Shrink, Restart}
}

// File is a text and its name.
type File struct {
	Name string
	Data []byte
}

// Read reads a day's description. Files after the first replace what they name, tables of one name as a whole: one holds
// the fleet and another a trouble. A fault is one line: the file, the place or the field, and what was expected.
func Read(files ...File) (*Day, error) {
	d := &Day{}
	name := ""
	for _, f := range files {
		if name = f.Name; len(f.Data) > MaxFile {
			return nil, fmt.Errorf("%s: %d bytes, at most %d expected", name, len(f.Data), MaxFile)
		}
		over := *d
		if err := toml.NewDecoder(bytes.NewReader(f.Data)).DisallowUnknownFields().Decode(&over); err != nil {
			return nil, fault(name, err)
		}
		*d = over
	}
	if err := d.Complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, nil
}

// Complete puts defaults where nothing is said, and returns the first field that is out of its range. Only a day that is
// complete can be played.
func (d *Day) Complete() error {
	d.fill()
	return d.check()
}

// fault words a decoder's error as one line with its place.
func fault(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, col := e.Position()
		return fmt.Errorf("%s:%d:%d: unknown field %q", file, line, col, e.Key())
	}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		line, col := at.Position()
		return fmt.Errorf("%s:%d:%d: %w", file, line, col, err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

func or[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// fill puts defaults where nothing is said.
func (d *Day) fill() {
	or(&d.Name, "day")
	or(&d.Length, seconds(40))
	or(&d.Warmup, seconds(3))
	or(&d.Over, 0.05)
	or(&d.Quota, 0.6)
	or(&d.Clients.Try, 1)
	or(&d.Network.Hop, Span(200*time.Microsecond))
	or(&d.Network.Notice, seconds(1.5))
	for i := range d.Tenants {
		or(&d.Tenants[i].Usage, 1)
	}
	for i := range d.Classes {
		or(&d.Classes[i].Repeat, "safe")
	}
	for i := range d.Tiers {
		t := &d.Tiers[i]
		or(&t.Name, fmt.Sprintf("tier%d", i))
		or(&t.Copies, 2)
		or(&t.Calls, 1)
		or(&t.Cells, 2)
		or(&t.ColdFrom, 0.35)
		or(&t.Warm, seconds(6))
		or(&t.OverFor, seconds(2))
		or(&t.Below, 0.3)
		or(&t.Rest, seconds(4))
		or(&t.Most, seconds(25))
		for j := range t.Kinds {
			k := &t.Kinds[j]
			or(&k.Cores, 2)
			or(&k.Speed, 1)
			or(&k.Slots, k.Cores)
			or(&k.Waiting, 20*k.Cores)
		}
	}
	for i := range d.Trouble {
		t := &d.Trouble[i]
		or(&t.Part, 0.1)
		or(&t.Times, 4)
		if t.Kind == Hot {
			or(&t.Share, 0.25)
		}
		or(&t.Share, 1)
	}
}

// bound is one bound on one field.
type bound struct {
	ok     bool
	field  string
	found  any
	expect string
}

func firstOf(bounds []bound) error {
	for _, b := range bounds {
		if !b.ok {
			return fmt.Errorf("%s: found %v, %s expected", b.field, b.found, b.expect)
		}
	}
	return nil
}

func inside(x, lo, hi float64) bool { return x >= lo && x <= hi } // false for NaN

// check returns the first field that is out of its range.
func (d *Day) check() error {
	bounds := []bound{
		{d.Length.within(time.Second, maxLength), "length", d.Length, "1s to 10m"},
		{d.Warmup.within(0, time.Duration(d.Length)), "warmup", d.Warmup, "0s to the length"},
		{inside(d.Rate, 0, 1e5), "rate", d.Rate, "0 to 100000 a second"},
		{d.Rate > 0 || inside(d.Load, 0.001, 5), "load", d.Load, "0.001 to 5, or a rate,"},
		{inside(d.Wave, 0, 0.9), "wave", d.Wave, "0 to 0.9"},
		{inside(d.Noise, 0, 2), "noise", d.Noise, "0 to 2"},
		{inside(d.Over, 0, 1), "over_worth", d.Over, "0 to 1"},
		{inside(d.Quota, 0.01, 5), "quota", d.Quota, "0.01 to 5"},
		{len(d.Classes) >= 1 && len(d.Classes) <= maxNames, "classes", len(d.Classes), "1 to 64"},
		{len(d.Tenants) <= maxNames, "tenants", len(d.Tenants), "at most 64"},
		{len(d.Trouble) <= maxNames, "trouble", len(d.Trouble), "at most 64"},
		{len(d.Tiers) >= 1 && len(d.Tiers) <= maxTiers, "tiers", len(d.Tiers), "1 to 5"},
		{d.Clients.Retries >= 0 && d.Clients.Retries <= 10, "clients.retries", d.Clients.Retries, "0 to 10"},
		{d.Clients.Backoff.within(0, time.Minute), "clients.backoff", d.Clients.Backoff, "0s to 1m"},
		{inside(d.Clients.Honour, 0, 1), "clients.honour", d.Clients.Honour, "0 to 1"},
		{inside(d.Clients.Try, 0.05, 1), "clients.try", d.Clients.Try, "0.05 to 1"},
		{d.Network.Hop.within(time.Microsecond, time.Second), "network.hop", d.Network.Hop, "1us to 1s"},
		{d.Network.Notice.within(time.Millisecond, time.Minute), "network.notice", d.Network.Notice, "1ms to 1m"},
	}
	for i, c := range d.Classes {
		at := func(f string) string { return fmt.Sprintf("classes[%d].%s", i, f) }
		bounds = append(bounds,
			bound{inside(c.Share, 0, 1e6) && c.Share > 0, at("share"), c.Share, "more than 0"},
			bound{c.Work.within(time.Microsecond, time.Minute), at("work"), c.Work, "1us to 1m"},
			bound{inside(c.CV, 0, 5), at("cv"), c.CV, "0 to 5"},
			bound{c.Aim.within(time.Millisecond, time.Minute), at("aim"), c.Aim, "1ms to 1m"},
			bound{c.Deadline >= c.Aim && c.Deadline.within(0, time.Minute), at("deadline"), c.Deadline, "the aim to 1m"},
			bound{inside(c.Late, 0, 1), at("late_worth"), c.Late, "0 to 1"},
			bound{c.Repeat == "safe" || c.Repeat == "unsafe" || c.Repeat == "keyed", at("repeat"), c.Repeat, "safe, keyed or unsafe"},
			bound{c.Window.within(0, time.Hour) && (c.Repeat != "keyed" || c.Window > 0), at("window"), c.Window, "more than 0s to 1h"})
	}
	for i, t := range d.Tenants {
		bounds = append(bounds, bound{inside(t.Share, 1e-6, 1e6), fmt.Sprintf("tenants[%d].share", i), t.Share, "more than 0"},
			bound{inside(t.Usage, 0, 100), fmt.Sprintf("tenants[%d].usage", i), t.Usage, "0 to 100"})
	}
	for i := range d.Tiers {
		bounds = append(bounds, d.Tiers[i].bounds(i)...)
	}
	for i, t := range d.Trouble {
		bounds = append(bounds, t.bounds(d, i)...)
	}
	if err := firstOf(bounds); err != nil {
		return err
	}
	n := d.rate() * d.Length.Seconds() * d.busiest()
	if n > maxAsked {
		return fmt.Errorf("rate: found %.0f requests a day, at most %d expected", n, maxAsked)
	}
	if n *= d.callsEach(); n > maxCalls {
		return fmt.Errorf("calls: found %.0f calls a day, at most %d expected", n, maxCalls)
	}
	return nil
}

func (t *Tier) bounds(i int) []bound {
	at := func(f string) string { return fmt.Sprintf("tiers[%d].%s", i, f) }
	total := 0
	var kinds []bound
	for j, k := range t.Kinds {
		at := func(f string) string { return fmt.Sprintf("tiers[%d].kinds[%d].%s", i, j, f) }
		total += max(0, min(k.Count, maxBackends+1))
		kinds = append(kinds, bound{k.Count >= 1 && k.Count <= maxBackends, at("count"), k.Count, "1 to 500"},
			bound{k.Cores >= 1 && k.Cores <= 256, at("cores"), k.Cores, "1 to 256"},
			bound{inside(k.Speed, 0.01, 100), at("speed"), k.Speed, "0.01 to 100"},
			bound{k.Slots >= k.Cores && k.Slots <= 1e6, at("slots"), k.Slots, "the cores to 1000000"},
			bound{k.Waiting >= 0 && k.Waiting <= 1e6, at("waiting"), k.Waiting, "0 to 1000000"})
	}
	return append([]bound{
		{total >= 1 && total <= maxBackends, at("kinds"), total, "1 to 500 backends in all"},
		{t.Copies >= 1 && t.Copies <= maxCopies, at("copies"), t.Copies, "1 to 200"},
		{inside(t.Work, 0.0001, 10), at("work"), t.Work, "0.0001 to 10"},
		{inside(t.Calls, 0, 10), at("calls"), t.Calls, "0 to 10"},
		{t.Cells >= 1 && t.Cells <= maxBackends, at("cells"), t.Cells, "1 to 500"},
		{inside(t.OverAt, 0, 100), at("over_at"), t.OverAt, "0 to 100"},
		{t.OverFor.within(100*time.Millisecond, time.Minute), at("over_for"), t.OverFor, "100ms to 1m"},
		{t.Slower == 0 || inside(t.Slower, 1, 100), at("slower"), t.Slower, "0, or 1 to 100"},
		{inside(t.Below, 0.01, 1), at("below"), t.Below, "0.01 to 1"},
		{t.Rest.within(0, time.Hour), at("rest"), t.Rest, "0s to 1h"},
		{t.Most.within(time.Second, time.Hour), at("most"), t.Most, "1s to 1h"},
		{inside(t.ColdFrom, 0.01, 1), at("cold_from"), t.ColdFrom, "0.01 to 1"},
		{t.Warm.within(0, time.Hour), at("warm"), t.Warm, "0s to 1h"},
	}, kinds...)
}

func (t *Trouble) bounds(d *Day, i int) []bound {
	at := func(f string) string { return fmt.Sprintf("trouble[%d].%s", i, f) }
	known := false
	for _, k := range Kinds() {
		known = known || k == t.Kind
	}
	return []bound{
		{known, at("kind"), fmt.Sprintf("%q", t.Kind), fmt.Sprintf("one of %v", Kinds())},
		{t.At.within(0, time.Duration(d.Length)), at("at"), t.At, "0s to the length"},
		{t.For.within(0, maxLength), at("for"), t.For, "0s to 10m"},
		{t.Tier >= 0 && t.Tier < len(d.Tiers), at("tier"), t.Tier, fmt.Sprintf("0 to %d", len(d.Tiers)-1)},
		{inside(t.Part, 0, 1), at("part"), t.Part, "0 to 1"},
		{t.First >= 0 && t.First < maxBackends, at("first"), t.First, "0 to 499"},
		{inside(t.Times, 0.01, 100), at("times"), t.Times, "0.01 to 100"},
		{inside(t.Share, 0, 1), at("share"), t.Share, "0 to 1"},
		{t.Class == "" || d.class(t.Class) >= 0, at("class"), t.Class, "the name of a class"},
		{t.Tenant == "" || d.tenant(t.Tenant) >= 0, at("tenant"), t.Tenant, "the name of a tenant"},
	}
}

func (d *Day) class(name string) int {
	for i, c := range d.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (d *Day) tenant(name string) int {
	for i, t := range d.Tenants {
		if t.Name == name {
			return i
		}
	}
	return -1
}

// work is the mean work of a request over its classes, in seconds of a core of speed 1.
func (d *Day) work() float64 {
	sum, share := 0.0, 0.0
	for _, c := range d.Classes {
		sum += c.Share * time.Duration(c.Work).Seconds()
		share += c.Share
	}
	return sum / share
}

// Capacity is how many requests a second the narrowest tier can do, all backends warm and well.
func (d *Day) Capacity() float64 {
	least, calls := 0.0, 1.0
	for i, t := range d.Tiers {
		if i > 0 {
			calls *= t.Calls
		}
		sum := 0.0
		for _, k := range t.Kinds {
			sum += float64(k.Count*k.Cores) * k.Speed
		}
		if calls == 0 {
			break
		}
		if c := sum / (d.work() * t.Work * calls); least == 0 || c < least {
			least = c
		}
	}
	return least
}

// rate is first tries a second.
func (d *Day) rate() float64 {
	if d.Rate > 0 {
		return d.Rate
	}
	return d.Load * d.Capacity()
}

// callsEach is how many calls a request makes to all tiers, itself included.
func (d *Day) callsEach() float64 {
	sum, calls := 1.0, 1.0
	for _, t := range d.Tiers[1:] {
		calls *= t.Calls
		sum += calls
	}
	return sum
}

// busiest is how many times the usual rate the troubles may bring.
func (d *Day) busiest() float64 {
	most := 1.0
	for _, t := range d.Trouble {
		if t.Kind == Burst {
			most += max(0, t.Times-1)
		}
	}
	return most
}
