package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// pollInterval is the longest time that a sidecar goes without a watch or a poll of the catalog.
const pollInterval = 10 * time.Second

// The words for the kinds of sources. Version 1 of the format has only some of them.
var (
	memberships         = []string{"static", "catalog", "file", "consul", "relay"}
	version1Memberships = []string{"static", "catalog"}
)

// membershipOfField maps fields that are valid only with one kind of membership to that kind.
var membershipOfField = map[string]string{
	"path": "file", "registered_as": "consul", "token_file": "consul", "as": "relay",
}

// source decodes the source of the endpoint list of a service.
func (dec *decoder) source(scope tomldoc.Scope, s *Service) {
	before := len(scope.Diagnostics)
	words := memberships
	if dec.version < 2 {
		words = version1Memberships
	}
	kind := scope.OneOf("membership", "static", words...)
	if len(scope.Diagnostics) > before { // the valid fields depend on the kind, which is unknown
		scope.MarkKnown("discovery", "endpoints", "subscribe", "path", "registered_as", "token_file", "as")
		return
	}
	for field, with := range membershipOfField {
		if scope.Has(field) && kind != with && dec.version >= 2 {
			scope.ReportField(rules.Exclusive, field, "requires membership = %q", with)
			scope.MarkKnown(field)
		}
	}
	switch kind {
	case "file":
		s.Source = fileSource(scope)
	case "consul":
		s.Source = consulSource(scope, s.Name)
	case "relay":
		s.Source = dec.relaySource(scope, s.Name)
	case "catalog":
		s.Source = catalogSource(scope)
		if scope.Bool("subscribe") {
			s.Balancer.WatchEndpoints, s.Balancer.PollInterval = true, pollInterval.Microseconds()
		}
	default:
		s.Source = dec.staticSource(scope, s)
	}
}

// excludeFields reports fields that are not valid with a kind of membership.
func excludeFields(scope tomldoc.Scope, reason string, fields ...string) {
	for _, field := range fields {
		if scope.Has(field) {
			scope.ReportField(rules.Exclusive, field, "%s", reason)
		}
		scope.MarkKnown(field)
	}
}

// fileSource decodes the source of an endpoint list in a file.
func fileSource(scope tomldoc.Scope) Source {
	source := Source{Kind: File, Path: scope.Text("path", "")}
	if source.Path == "" {
		scope.ReportField(rules.Missing, "path", "must be the file with the endpoint list")
	}
	excludeFields(scope, `not allowed with membership = "file"`, "endpoints", "discovery")
	return source
}

// consulSource decodes the source of an endpoint list at a health API.
func consulSource(scope tomldoc.Scope, service string) Source {
	source := Source{
		Kind: Consul, Address: address(scope, "discovery", false),
		RemoteName: scope.Text("registered_as", service), TokenFile: scope.Text("token_file", ""),
	}
	if source.RemoteName == "" {
		scope.ReportField(rules.Missing, "registered_as", "must be the name of the service in the registry")
	}
	excludeFields(scope, `not allowed with membership = "consul"`, "endpoints")
	return source
}

// relaySource decodes the source of an endpoint list from the relays of [distribution].
func (dec *decoder) relaySource(scope tomldoc.Scope, service string) Source {
	source := Source{Kind: Relay, RemoteName: scope.Text("as", service)}
	if scope.Has("as") {
		CheckName(scope, "as", source.RemoteName)
	}
	if len(dec.app.Distribution.Relays) == 0 {
		scope.ReportField(rules.Missing, "membership", "requires relays in [distribution]")
	}
	excludeFields(scope, `not allowed with membership = "relay"`, "endpoints", "discovery")
	return source
}

// catalogSource decodes the source of an endpoint list at the discovery.
func catalogSource(scope tomldoc.Scope) Source {
	source := Source{Kind: Catalog, Address: address(scope, "discovery", false)}
	excludeFields(scope, `requires membership = "static"`, "endpoints")
	return source
}

// staticSource decodes an endpoint list in the configuration itself.
func (dec *decoder) staticSource(scope tomldoc.Scope, s *Service) Source {
	if scope.Has("discovery") {
		scope.ReportField(rules.Exclusive, "discovery", `requires membership = "catalog"`)
		scope.MarkKnown("discovery")
	}
	if !scope.Has("endpoints") {
		scope.ReportField(rules.Missing, "endpoints", `must contain at least one endpoint with membership = "static"`)
	}
	source := Source{Kind: Static}
	seen := map[string]bool{}
	for _, endpointScope := range scope.TableArray("endpoints") {
		endpoint := dec.endpoint(endpointScope, s)
		if seen[endpoint.Name] {
			endpointScope.ReportField(rules.DoubleName, "name",
				"already the name of another endpoint of %s", scope.Path)
		}
		seen[endpoint.Name] = true
		endpointScope.ReportUnknown()
		source.Endpoints = append(source.Endpoints, endpoint)
	}
	return source
}

// endpoint decodes one endpoint of a static list. The default of the name is the address.
func (dec *decoder) endpoint(scope tomldoc.Scope, s *Service) membership.Endpoint {
	endpoint := membership.Endpoint{
		Name: scope.Text("name", ""), Address: address(scope, "address", false),
		Zone: scope.Text("zone", s.Zones[max(0, s.Balancer.Zone)]),
		Cell: int(scope.Int("cell", 0, 0, 1<<30)), Weight: scope.Float("weight", 1, 0, 1e6),
	}
	if scope.OneOf("status", "serving", "serving", "draining") == "draining" {
		endpoint.Status = membership.Draining
	}
	if endpoint.Name == "" {
		endpoint.Name = endpoint.Address
	}
	if dec.version >= 2 && !slices.Contains(s.Zones, endpoint.Zone) {
		zones := cmp.Or(strings.Join(s.Zones, ", "), "none are declared")
		scope.ReportField(rules.UnknownZone, "zone", "must be one of the zones of the service: %s", zones)
	}
	return endpoint
}
