package predict

import (
	"fmt"
	"math"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// tier is one level of control services between the origin of a change and the proxies.
type tier struct {
	name     string
	role     fit.Role
	drivers  fit.Drivers
	state    string
	machines float64 // number of machines of the tier
}

// controlTiers returns the tiers of a source. The first one is the tier to which the proxies are
// connected.
func (c *Calculator) controlTiers(source result.Source, model *fleetModel, drivers fit.Drivers) []tier {
	state := fmt.Sprintf("%d services, %d endpoints t", model.fleet.Services, model.fleet.Proxies)
	if source != result.SourceRelay {
		drivers.Processes = float64(c.target.Limits.ControlMachines)
		return []tier{{
			name:     "list services, all zones",
			role:     fit.Lists,
			drivers:  drivers,
			state:    state,
			machines: drivers.Processes,
		}}
	}
	zoneRelays := float64(model.fleet.Zones) * c.target.Assumed(RelaysPerZone)
	regionRelays := float64(model.fleet.Regions) * c.target.Assumed(RelaysPerRegion)
	return []tier{
		{
			name:     "relays of the zones, all",
			role:     fit.Relays,
			drivers:  relayTierDrivers(zoneRelays, drivers),
			state:    state + "; a position for each proxy and service",
			machines: zoneRelays,
		},
		{
			name:     "relays of the regions, all",
			role:     fit.Relays,
			drivers:  relayTierDrivers(regionRelays, relaysAsFollowers(model, zoneRelays, drivers)),
			state:    state,
			machines: regionRelays,
		},
		{
			name:     "source",
			role:     fit.Lists,
			drivers:  sourceTierDrivers(regionRelays, drivers),
			state:    state + "; on disk",
			machines: 1,
		},
	}
}

// relaysAsFollowers returns the drivers of a tier whose followers are n relays. Each relay follows
// all services.
func relaysAsFollowers(model *fleetModel, n float64, drivers fit.Drivers) fit.Drivers {
	return fit.Drivers{
		Proxies:          n,
		Followed:         n * float64(model.fleet.Services),
		EndpointsHeld:    n * total(model.sizes),
		Changes:          drivers.Changes,
		EndpointsPut:     drivers.EndpointsPut,
		Delivered:        n * drivers.Changes,
		EndpointsChanged: n * drivers.EndpointsPut,
		Services:         drivers.Services,
		Endpoints:        drivers.Endpoints,
	}
}

// relayTierDrivers returns the drivers of a tier of n relays, with one relay per machine.
func relayTierDrivers(n float64, drivers fit.Drivers) fit.Drivers {
	drivers.Processes = n
	drivers.Relays = n
	return drivers
}

// sourceTierDrivers returns the drivers of the source. Its followers are n relays that report for
// the whole fleet.
func sourceTierDrivers(n float64, drivers fit.Drivers) fit.Drivers {
	drivers.Processes = 1
	drivers.Relays = n
	return drivers
}

func (c *Calculator) tierRow(source result.Source, t tier) []string {
	predict := func(metric fit.Metric) amount {
		return c.evidence.predict(source, t.role, metric, t.drivers)
	}
	cores, in, out := predict(fit.CPU), predict(fit.BytesIn), predict(fit.BytesOut)
	need := c.machines(cores, maxAmount(in, out))
	machines := "?"
	if need.known {
		machines = formatNumber(math.Ceil(need.value))
	}
	return []string{
		t.name,
		sourceName(source),
		t.state,
		predict(fit.MessagesIn).format(formatRate) + ", " + predict(fit.MessagesOut).format(formatRate),
		in.format(formatByteRate) + ", " + out.format(formatByteRate),
		cores.format(formatCores),
		predict(fit.RSS).format(formatBytes),
		predict(fit.Connections).format(formatNumber),
		fmt.Sprintf("%s; %s of %s machines", verdict(need, t.machines), machines, formatNumber(t.machines)),
	}
}
