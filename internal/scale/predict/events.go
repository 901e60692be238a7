package predict

import (
	"fmt"
	"math"

	"fernlanding/internal/scale/result"
)

// event is a cause of list changes or of additional list reads.
type event struct {
	name      string
	note      string
	load      changeLoad
	listReads float64 // snapshots read in addition to the reads caused by changes
	resumes   float64 // proxies that resume their streams from their positions, over distribution
	// canResume reports whether proxies resume over distribution instead of reading snapshots.
	canResume bool
	// isConfiguration reports whether the event changes configuration, which only distribution
	// delivers.
	isConfiguration bool
}

const (
	releaseChanges   = 4   // changes per released backend: draining, removed, added, warmed up
	immediateSeconds = 1.0 // duration of the changes of a sudden event
)

// events returns the events of the table for the fleet of a model.
func (c *Calculator) events(model *fleetModel) []event {
	fleet := model.fleet
	ordinary := model.ordinaryDay(c.target)
	zone := float64(fleet.ProxiesPerZone)
	region := float64(fleet.Proxies) / float64(fleet.Regions)
	largest := model.sizes[0]
	rack := min(c.target.Assumed(RackBackends), float64(fleet.Proxies))
	duringPartition := ordinary.scaled(c.target.Assumed(PartitionSeconds)/secondsPerDay, 1)
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
			note: fmt.Sprintf("%s changes were missed", formatNumber(duringPartition.total())),
			load: missedChanges(model, duringPartition, region),
		},
		{
			name:            "a bad configuration of the largest service is taken back",
			note:            "its coming and its going",
			load:            model.changesToLargest(2, immediateSeconds),
			isConfiguration: true,
		},
	}
}

// busiestMinute returns the event of the busiest minute of a day.
func (c *Calculator) busiestMinute(model *fleetModel) event {
	ordinary := model.ordinaryDay(c.target)
	return event{
		name: "its busiest minute",
		load: ordinary.scaled(c.target.Assumed(BusiestFactor)*60/secondsPerDay, 60),
	}
}

// missedChanges returns the changes that a region receives after a network partition: at most one
// per backend, and only to the proxies of the region.
func missedChanges(model *fleetModel, all changeLoad, regionProxies float64) changeLoad {
	out := changeLoad{seconds: immediateSeconds, changes: make([]float64, len(all.changes))}
	for i, n := range all.changes {
		distinct := model.sizes[i] * (1 - math.Exp(-n/model.sizes[i]))
		out.changes[i] = distinct * regionProxies / float64(model.fleet.Proxies)
	}
	return out
}

// Events returns the table of the costs of events for a fleet.
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
		out.propagation.format(formatSeconds),
		c.eventVerdict(e, out),
	)
}

// minRateSeconds is the minimum duration of an event whose byte rate per proxy is compared with the
// limit.
const minRateSeconds = 60.0

// eventVerdict compares the propagation time of an event with its limit. For an event of at least
// minRateSeconds, it also compares the byte rate per proxy.
func (c *Calculator) eventVerdict(e event, out outcome) string {
	text := verdict(out.propagation, c.target.Limits.PropagationSeconds)
	rate := out.bytes.dividedBy(e.load.seconds)
	if e.load.seconds >= minRateSeconds && rate.known && rate.value > c.target.Limits.ProxyBytesPerSecond {
		text += "; bytes: " + verdict(rate, c.target.Limits.ProxyBytesPerSecond)
	}
	return text
}
