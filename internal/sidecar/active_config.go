package sidecar

import (
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/front"
	"fernlanding/internal/route"
)

// activeConfig is an active configuration, which resolves requests. It is an immutable snapshot,
// but shares its sticky assignments and mirror slots with the configurations before and after it.
type activeConfig struct {
	platform         *platformResolver          // nil except on the platform
	services         map[string]*service        // by name
	routesByListener map[string]*listenerRoutes // by listener name
	routes           map[string]*activeRoute    // by route name
	sticky           *stickyAssignments
	mirrorSlots      chan struct{} // a semaphore: one element for each mirrored request in flight
}

// listenerRoutes is the routes of one listener.
type listenerRoutes struct {
	table  *route.Table
	routes []*activeRoute // indexed by the numbers that table returns
}

// activeRoute is a route with its destinations.
type activeRoute struct {
	config.Route
	split          *route.Split // nil if there is one arm
	arms           []splitArm
	mirror         *splitArm // nil if requests are not mirrored
	previousSplits []previousSplit
}

// newActiveConfig builds the configuration that replaces previous, which is nil for the first one.
func newActiveConfig(
	app *config.App, services map[string]*service, previous *activeConfig, shared *sharedResources,
) (*activeConfig, error) {
	c := &activeConfig{
		services:         services,
		routesByListener: map[string]*listenerRoutes{},
		routes:           map[string]*activeRoute{},
	}
	if previous != nil {
		c.sticky, c.mirrorSlots = previous.sticky, previous.mirrorSlots
	} else {
		c.sticky, c.mirrorSlots = newStickyAssignments(), make(chan struct{}, maxMirroredInFlight)
	}
	if app.Kind == config.Platform {
		svc := services[config.PlatformService]
		c.platform = newPlatformResolver(&svc.cfg.Deployment, svc.cfg.MaxBody, svc.pool)
		return c, nil
	}
	routes, err := newActiveRoutes(app, newArmBuilder(services, shared))
	if err != nil {
		return nil, err
	}
	now := shared.clock.Now()
	for _, r := range routes {
		if previous != nil {
			r.inheritSplits(previous.routes[r.Name], now)
		}
		c.routes[r.Name] = r
	}
	for _, l := range app.Listeners {
		table, numbers, err := app.Table(l.Name)
		if err != nil {
			return nil, err
		}
		byNumber := &listenerRoutes{table: table}
		for _, number := range numbers {
			byNumber.routes = append(byNumber.routes, routes[number])
		}
		c.routesByListener[l.Name] = byNumber
	}
	return c, nil
}

// newActiveRoutes returns the routes of a configuration, in the order of the configuration.
func newActiveRoutes(app *config.App, builder *armBuilder) ([]*activeRoute, error) {
	routes := make([]*activeRoute, len(app.Routes))
	for i, configured := range app.Routes {
		built := &activeRoute{Route: configured}
		var weights []route.Arm
		for _, target := range configured.Targets {
			built.arms = append(built.arms, builder.build(target))
			weights = append(weights, route.Arm{Name: target.Service, Weight: target.Weight})
		}
		if len(configured.Targets) > 1 {
			split, err := route.NewSplit(configured.Name, weights)
			if err != nil {
				return nil, err
			}
			built.split = split
		}
		if configured.Mirror != nil {
			mirror := builder.build(*configured.Mirror)
			built.mirror = &mirror
		}
		routes[i] = built
	}
	return routes, nil
}

// armBuilder builds the arms of a configuration's routes.
type armBuilder struct {
	services map[string]*service
	tenants  map[string]map[string]int // indexes of tenants, by service and tenant name
	memory   *allocator
}

// newArmBuilder returns a builder of arms whose destinations are among services.
func newArmBuilder(services map[string]*service, shared *sharedResources) *armBuilder {
	b := &armBuilder{services: services, tenants: map[string]map[string]int{}, memory: shared.memory}
	for name, svc := range services {
		b.tenants[name] = indexByName(svc.cfg.Tenants)
	}
	return b
}

// build returns the arm that forwards to target.
func (b *armBuilder) build(target config.Target) splitArm {
	svc := b.services[target.Service]
	class := svc.cfg.Class(target.Class)
	var pool front.Pool = svc.pool
	if svc.cfg.StatusCodes != (config.StatusCodes{}) {
		pool = statusCodePool{Pool: svc.pool, codes: svc.cfg.StatusCodes.WithDefaults()}
	}
	return splitArm{
		service:  target.Service,
		pool:     pool,
		class:    class,
		settings: svc.cfg.Balancer.Classes[class],
		policy:   svc.cfg.ClassPolicies[class],
		maxBody:  svc.cfg.MaxBody,
		tenants:  b.tenants[target.Service],
		memory:   memoryQuota{allocator: b.memory, consumer: target.Service},
	}
}

// servicesWithoutList returns the names of the services that have no endpoint list, sorted.
func (c *activeConfig) servicesWithoutList() []string {
	var names []string
	for name, svc := range c.services {
		if !svc.isReady() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
