package predict

import (
	"fmt"
	"math"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// Calculator works out the page's tables.
type Calculator struct {
	t *Target
	e *Evidence
}

// NewCalculator returns a calculator.
func NewCalculator(t *Target, e *Evidence) *Calculator { return &Calculator{t: t, e: e} }

// wayName is a way as the page calls it.
func wayName(w way) string {
	if w == result.SourceRelay {
		return "distribution"
	}
	return "consul"
}

// proxyNeeds is what one proxy needs for control.
type proxyNeeds struct {
	bytes, cores, memory             amount
	in, out, messagesIn, messagesOut amount
	controlConnections               amount
}

func (c *Calculator) proxyNeeds(w way, d fit.Drivers) proxyNeeds {
	get := func(f fit.Figure) amount { return c.e.proxy(w, f, d, c.t.Get(ProcessBytes)) }
	n := proxyNeeds{
		in: get(fit.BytesIn), out: get(fit.BytesOut), cores: get(fit.CPU), memory: get(fit.RSS),
		messagesIn: get(fit.MessagesIn), messagesOut: get(fit.MessagesOut), controlConnections: get(fit.Connections),
	}
	n.bytes = n.in.plus(n.out)
	return n
}

// control is the drivers' share that is control: calls are not.
func control(d fit.Drivers) fit.Drivers {
	d.Calls = 0
	return d
}

// ordinaryDrivers are those of a fleet on an ordinary day, without calls.
func (c *Calculator) ordinaryDrivers(s *shape) fit.Drivers {
	return control(s.under(s.ordinary(c.t), c.gap()))
}

// gap is the least time between two whole readings of a list by a proxy, in seconds.
func (c *Calculator) gap() float64 { return c.t.Get(ReadPaceMs) / 1000 }

// worstOf is the budget of a proxy that is missed by most, or fits least.
func (c *Calculator) worstOf(n proxyNeeds) string {
	l, worst, what := c.t.Limits, amount{}, ""
	for _, b := range []struct {
		need    amount
		allowed float64
		name    string
	}{{n.bytes, l.ProxyBytesASec, "bytes"}, {n.cores, l.ProxyCores, "processor"}, {n.memory, l.ProxyBytes, "memory"}} {
		if b.need.known && b.need.value/b.allowed >= worst.value {
			worst, what = known(b.need.value/b.allowed), b.name
		}
	}
	if !worst.known {
		return "not measured"
	}
	return verdict(worst, 1) + " (" + what + ")"
}

// machines is how many machines a tier needs for its processor time and its network.
func (c *Calculator) machines(cpu, bytesASecond amount) amount {
	use := c.t.Get(MachineUse)
	byCPU := cpu.over(c.t.Get(MachineCores) * use)
	byNetwork := bytesASecond.over(c.t.Get(MachineNetwork) * 1e9 / 8 * use)
	return amount{max(byCPU.value, byNetwork.value), cpu.known && bytesASecond.known}
}

// Roles is the table of roles at a size.
func (c *Calculator) Roles(name string, f Fleet) Table {
	s := shapeOf(f, c.t)
	t := Table{Title: name, Head: []string{"role", "way", "state", "messages in, out", "bytes in, out", "processor", "memory", "connections", "verdict"}}
	for _, w := range ways() {
		d := c.ordinaryDrivers(s)
		t.Rows = append(t.Rows, c.callerRow(w, s, d), c.backendProxyRow(w, s, d))
		t.Rows = append(t.Rows, c.tiers(w, s, d)...)
	}
	t.Rows = append(t.Rows, c.operatorRow(s), c.backendRow(s, 0, "the largest service"), c.backendRow(s, len(s.sizes)/2, "a middling service"))
	return t
}

func (c *Calculator) callerRow(w way, s *shape, d fit.Drivers) []string {
	n := c.proxyNeeds(w, d)
	state := fmt.Sprintf("%s lists of %s endpoints w", short(s.fleet.ServicesFollowed), short(s.endpointsFollowed()))
	out := s.connectionsOut()
	return []string{
		"a caller's proxy", wayName(w), state, n.messages(), n.traffic(), n.cores.shown(WorkedOut, percent), n.memory.shown(WorkedOut, bytesOf),
		fmt.Sprintf("%s control; %s to backends w", n.controlConnections.shown(WorkedOut, plain), short(out)), c.worstOf(n),
	}
}

func (n proxyNeeds) messages() string {
	return n.messagesIn.shown(WorkedOut, perSecond) + ", " + n.messagesOut.shown(WorkedOut, perSecond)
}

func (n proxyNeeds) traffic() string {
	return n.in.shown(WorkedOut, bytesASecond) + ", " + n.out.shown(WorkedOut, bytesASecond)
}

// backendProxyRow is the proxy of a backend of the largest service: its control half is like a caller's, and what callers
// connect to is its listener.
func (c *Calculator) backendProxyRow(w way, s *shape, d fit.Drivers) []string {
	n := c.proxyNeeds(w, d)
	mean, most := s.connectionsIn(0)
	memory := n.memory
	memory.value += most * c.t.Get(ConnectionBytes)
	withConnections := n
	withConnections.memory = memory
	return []string{
		"a backend's proxy, largest service", wayName(w), "as a caller's, and the calls under way", n.messages(), n.traffic(), n.cores.shown(WorkedOut, percent),
		memory.shown(WorkedOut, bytesOf), fmt.Sprintf("%s control; %s from callers, %s at most w", n.controlConnections.shown(WorkedOut, plain), short(mean), short(most)),
		c.worstOf(withConnections),
	}
}

// tier is a level of services for control.
type tier struct {
	name  string
	role  fit.Role
	d     fit.Drivers
	state string
	have  float64 // machines
}

// tiers are the rows of what stands between whoever changes something and the proxies.
func (c *Calculator) tiers(w way, s *shape, d fit.Drivers) (rows [][]string) {
	for _, x := range c.tiersOf(w, s, d) {
		rows = append(rows, c.tierRow(w, x))
	}
	return rows
}

func (c *Calculator) tiersOf(w way, s *shape, d fit.Drivers) []tier {
	state := fmt.Sprintf("%d services, %d endpoints t", s.fleet.Services, s.fleet.Proxies)
	if w != result.SourceRelay {
		d.Processes = float64(c.t.Limits.ControlMachines)
		return []tier{{name: "list services, all zones", role: fit.Lists, d: d, state: state, have: d.Processes}}
	}
	zone, region := c.relays(s.fleet)
	return []tier{
		{name: "relays of the zones, all", role: fit.Relays, d: ofRelays(zone, d), state: state + "; a position for each proxy and service", have: zone},
		{name: "relays of the regions, all", role: fit.Relays, d: ofRelays(region, c.followedBy(s, zone, d)), state: state, have: region},
		{name: "source", role: fit.Lists, d: ofSource(region, d), state: state + "; on disk", have: 1},
	}
}

// relays are how many there are in zones and above them in regions.
func (c *Calculator) relays(f Fleet) (zone, region float64) {
	return float64(f.Zones) * c.t.Get(RelaysPerZone), float64(f.Regions) * c.t.Get(RelaysPerRegion)
}

// followedBy are the drivers of a tier whose followers are n relays that follow everything between them.
func (c *Calculator) followedBy(s *shape, n float64, d fit.Drivers) fit.Drivers {
	services := float64(s.fleet.Services)
	out := fit.Drivers{Proxies: n, Followed: n * services, EndpointsHeld: n * total(s.sizes), Changes: d.Changes, EndpointsPut: d.EndpointsPut, Services: d.Services, Endpoints: d.Endpoints}
	out.Delivered = n * d.Changes
	out.EndpointsChanged = n * d.EndpointsPut
	return out
}

// ofRelays are the drivers of n relays, one on each machine.
func ofRelays(n float64, d fit.Drivers) fit.Drivers {
	d.Processes, d.Relays = n, n
	return d
}

// ofSource are the drivers of the source, whose followers are n relays that report for the whole fleet.
func ofSource(n float64, d fit.Drivers) fit.Drivers {
	d.Processes, d.Relays = 1, n
	return d
}

func (c *Calculator) tierRow(w way, x tier) []string {
	get := func(f fit.Figure) amount { return c.e.predict(w, x.role, f, x.d) }
	cpu, in, out := get(fit.CPU), get(fit.BytesIn), get(fit.BytesOut)
	need := c.machines(cpu, amount{max(in.value, out.value), in.known && out.known})
	memory := get(fit.RSS)
	return []string{
		x.name, wayName(w), x.state, get(fit.MessagesIn).shown(WorkedOut, perSecond) + ", " + get(fit.MessagesOut).shown(WorkedOut, perSecond),
		in.shown(WorkedOut, bytesASecond) + ", " + out.shown(WorkedOut, bytesASecond), cpu.shown(WorkedOut, cores), memory.shown(WorkedOut, bytesOf),
		get(fit.Connections).shown(WorkedOut, plain), fmt.Sprintf("%s; %s of %s machines", verdict(need, x.have), machinesShown(need), short(x.have)),
	}
}

func machinesShown(need amount) string {
	if !need.known {
		return "?"
	}
	return short(math.Ceil(need.value))
}

// Sizes of an answer to the operator's tool, at its bounds.
const (
	laggardBytes = 128 + 40
	refusalBytes = 128 + 256 + 60
	laggardsMost = 20
)

// operatorRow is fernctl rollout, which reads one resource's status.
func (c *Calculator) operatorRow(*shape) []string {
	size := float64(laggardsMost * (laggardBytes + refusalBytes))
	return []string{
		"an operator's tool", wayName(result.SourceRelay), "one status: counts by version, 20 laggards and 20 refusals at most", "1 a question", bytesOf(size) + " at most w",
		"not measured", "not measured", "1", "does not grow with the fleet",
	}
}

// backendRow is a backend as all its callers see it.
func (c *Calculator) backendRow(s *shape, i int, name string) []string {
	mean, most := s.connectionsIn(i)
	all, dialled := s.unspread(i, c.t.Get(IdleSeconds))
	same := s.callers(i) // with one ordinal for all
	state := fmt.Sprintf("%s: %s backends, %s callers, %s calls/s each w", name, short(s.sizes[i]), short(s.callers(i)), short(s.callRate(i)))
	spread := fmt.Sprintf("%s, %s at most, by subsets of %s w; %s without subsets, %s of calls on a new connection w; %s where callers share one ordinal w",
		short(mean), short(most), short(s.subset(i)), short(all), percent(dialled), short(same))
	return []string{
		"a backend as seen by its callers", "logic's subset", state, perSecond(s.fleet.CallsPerSecond/float64(s.fleet.Proxies)) + " calls t", "-", "-",
		bytesOf(most*c.t.Get(ConnectionBytes)) + " w", spread, verdict(known(most), c.t.Get(Descriptors)) + " (descriptors)",
	}
}
