package predict

import (
	"fmt"
	"math"

	"fernlanding/internal/scale/result"
)

// event is something that changes lists or makes proxies read their lists again.
type event struct {
	name      string
	note      string
	load      load
	listReads float64 // complete lists that are read, beyond those that changes cause
	resumes   float64 // proxies that resume their stream from its position, over distribution
	// canResume is set if over distribution proxies resume in place of reading complete lists.
	canResume bool
	// isConfiguration is set if the event changes configuration, which today nothing distributes.
	isConfiguration bool
}

const (
	releaseChanges   = 4   // of a released backend: draining, removed, added, warmed up
	immediateSeconds = 1.0 // over which the changes of a sudden event are counted
)

// events returns the events of the table, at the size of a fleet.
func (c *Calculator) events(model *fleetModel) []event {
	fleet := model.fleet
	ordinary := model.ordinaryDay(c.target)
	zone := float64(fleet.ProxiesPerZone)
	region := float64(fleet.Proxies) / float64(fleet.Regions)
	largest := model.sizes[0]
	rack := min(c.target.Assumed(RackBackends), float64(fleet.Proxies))
	duringCut := ordinary.scaled(c.target.Assumed(PartitionSeconds)/day, 1)
	return []event{
		{
			name:      "an ordinary day",
			load:      ordinary,
			listReads: fleet.RestartsPerDay * fleet.ServicesFollowed,
		},
		c.busiestMinute(model),
		{
			name:      "a rolling release of the largest service",
			note:      fmt.Sprintf("%s backends, four changes each", formatNumber(largest)),
			load:      model.changesToLargest(releaseChanges*largest, c.target.Assumed(ReleaseMinutes)*60),
			listReads: largest * fleet.ServicesFollowed,
		},
		{
			name: "a rack is lost",
			load: model.changesPerBackend(rack, immediateSeconds),
		},
		{
			name: "a zone is lost",
			note: formatNumber(zone) + " proxies and backends",
			load: model.changesPerBackend(zone, immediateSeconds),
		},
		{
			name:      "the zone returns",
			load:      model.changesPerBackend(zone, c.target.Assumed(ZoneReturnSeconds)),
			listReads: zone * fleet.ServicesFollowed,
		},
		{
			name:      "the list services of a region restart",
			note:      formatNumber(region) + " proxies",
			load:      model.changesPerBackend(0, immediateSeconds),
			listReads: region * fleet.ServicesFollowed,
			resumes:   region,
			canResume: true,
		},
		{
			name: "a region was cut off for an hour, the meeting again",
			note: fmt.Sprintf("%s changes were missed", formatNumber(duringCut.total())),
			load: changesMissed(model, duringCut, region),
		},
		{
			name:            "a bad configuration of the largest service is taken back",
			note:            "its coming and its going",
			load:            model.changesToLargest(2, immediateSeconds),
			isConfiguration: true,
		},
	}
}

// busiestMinute is the event of the day's busiest minute.
func (c *Calculator) busiestMinute(model *fleetModel) event {
	ordinary := model.ordinaryDay(c.target)
	return event{
		name: "its busiest minute",
		load: ordinary.scaled(c.target.Assumed(BusiestFactor)*60/day, 60),
	}
}

// changesMissed returns the changes that a region receives after it was cut off from all: at most
// one of each backend, and only its share of the proxies receives them.
func changesMissed(model *fleetModel, all load, regionProxies float64) load {
	out := load{seconds: immediateSeconds, changes: make([]float64, len(all.changes))}
	for i, n := range all.changes {
		distinct := model.sizes[i] * (1 - math.Exp(-n/model.sizes[i]))
		out.changes[i] = distinct * regionProxies / float64(model.fleet.Proxies)
	}
	return out
}

// Events returns the table of events at the size of a fleet.
func (c *Calculator) Events(name string, f Fleet) Table {
	model := newFleetModel(f, c.target)
	table := Table{Title: name, Head: []string{
		"event", "changes at the origin", "changes delivered", "way", "messages to proxies", "bytes to a proxy",
		"cores that serve them", "in force everywhere", "verdict",
	}}
	for _, e := range c.events(model) {
		for _, source := range comparedSources() {
			table.Rows = append(table.Rows, c.eventRow(source, model, e))
		}
	}
	return table
}

func (c *Calculator) eventRow(source result.Source, model *fleetModel, e event) []string {
	name := e.name
	if e.note != "" {
		name += " (" + e.note + ")"
	}
	delivered, _ := model.delivered(e.load)
	row := []string{
		name,
		formatNumber(e.load.total()) + " w",
		formatNumber(delivered) + " w",
		sourceName(source),
	}
	if e.isConfiguration && source != result.SourceRelay {
		return append(row, "-", "-", "-", "-", "**misses: nothing carries it**")
	}
	out := c.predictEvent(source, model, e)
	return append(row,
		out.messages.format(formatNumber),
		out.bytes.format(formatBytes),
		out.cores.format(formatNumber),
		out.inForce.format(formatSeconds),
		c.eventVerdict(e, out),
	)
}

// minRateSeconds is the shortest event whose rate of bytes to a proxy is held against its limit.
const minRateSeconds = 60.0

// eventVerdict compares the time until the event's changes are in force with its limit, and the
// rate of a proxy's bytes too if the event lasts.
func (c *Calculator) eventVerdict(e event, out outcome) string {
	text := verdict(out.inForce, c.target.Limits.PropagationSeconds)
	rate := out.bytes.dividedBy(e.load.seconds)
	if e.load.seconds >= minRateSeconds && rate.known && rate.value > c.target.Limits.ProxyBytesPerSecond {
		text += "; bytes: " + verdict(rate, c.target.Limits.ProxyBytesPerSecond)
	}
	return text
}
