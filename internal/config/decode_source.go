package config

import (
	"cmp"
	"fernlanding/internal/membership"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"slices"
	"strings"
	"time"
)

// askInterval is the longest time that a sidecar goes without a subscription to its catalog or a call of it.
const askInterval = 10 * time.Second

// The words for where a list of backends comes from; version 1 lacks the later ones.
var (
	memberships         = []string{"static", "catalog", "file", "consul", "relay"}
	version1Memberships = []string{"static", "catalog"}
)

// fieldsOfMembership are the fields that go with one kind of membership alone.
var fieldsOfMembership = map[string]string{"path": "file", "registered_as": "consul", "token_file": "consul", "as": "relay"}

// source reads where the list of a service's backends comes from.
func (x *decoder) source(s tomldoc.Scope, v *Service) {
	before := len(s.Faults)
	kinds := memberships
	if x.version < 2 {
		kinds = version1Memberships
	}
	kind := s.Word("membership", "static", kinds...)
	if len(s.Faults) > before { // what goes with it can't be told
		s.Take("discovery", "endpoints", "subscribe", "path", "registered_as", "token_file", "as")
		return
	}
	for field, with := range fieldsOfMembership {
		if s.Has(field) && kind != with && x.version >= 2 {
			s.Bad(rules.Exclusive, field, "goes with membership = %q", with)
			s.Take(field)
		}
	}
	switch kind {
	case "file":
		x.fileSource(s, v)
	case "consul":
		x.consulSource(s, v)
	case "relay":
		x.relaySource(s, v)
	case "catalog":
		x.catalogSource(s, v)
	default:
		x.staticSource(s, v)
	}
}

func (x *decoder) fileSource(s tomldoc.Scope, v *Service) {
	v.Source = Source{Kind: File, Path: s.Text("path", "")}
	if v.Source.Path == "" {
		s.Bad(rules.Missing, "path", "the file that has the list expected")
	}
	for _, f := range []string{"endpoints", "discovery"} {
		if s.Has(f) {
			s.Bad(rules.Exclusive, f, `does not go with membership = "file"`)
		}
	}
	s.Take("endpoints", "discovery")
}

func (x *decoder) consulSource(s tomldoc.Scope, v *Service) {
	v.Source = Source{Kind: Consul, Address: address(s, "discovery", false), RemoteName: s.Text("registered_as", v.Name), TokenFile: s.Text("token_file", "")}
	if v.Source.RemoteName == "" {
		s.Bad(rules.Missing, "registered_as", "the service's name in the registry expected")
	}
	if s.Has("endpoints") {
		s.Bad(rules.Exclusive, "endpoints", `does not go with membership = "consul"`)
	}
	s.Take("endpoints")
}

// relaySource reads the list that the relays of [distribution] pass on.
func (x *decoder) relaySource(s tomldoc.Scope, v *Service) {
	v.Source = Source{Kind: Relay, RemoteName: s.Text("as", v.Name)}
	if s.Has("as") {
		Named(s, "as", v.Source.RemoteName)
	}
	if len(x.app.Distribution.Relays) == 0 {
		s.Bad(rules.Missing, "membership", "relays in [distribution] expected beside it")
	}
	for _, f := range []string{"endpoints", "discovery"} {
		if s.Has(f) {
			s.Bad(rules.Exclusive, f, `does not go with membership = "relay"`)
		}
		s.Take(f)
	}
}

func (x *decoder) catalogSource(s tomldoc.Scope, v *Service) {
	v.Source = Source{Kind: Catalog, Address: address(s, "discovery", false)}
	if s.Has("endpoints") {
		s.Bad(rules.Exclusive, "endpoints", `stand in the file where membership is "static"`)
	}
	s.Take("endpoints")
	if s.Flag("subscribe") {
		v.Balancer.WatchEndpoints, v.Balancer.PollInterval = true, micros(askInterval)
	}
}

func (x *decoder) staticSource(s tomldoc.Scope, v *Service) {
	if s.Has("discovery") {
		s.Bad(rules.Exclusive, "discovery", `goes with membership = "catalog"`)
		s.Take("discovery")
	}
	if !s.Has("endpoints") {
		s.Bad(rules.Missing, "endpoints", `one at least expected where membership is "static"`)
	}
	seen := map[string]bool{}
	for _, e := range s.List("endpoints") {
		one := x.endpoint(e, v)
		if seen[one.Name] {
			e.Bad(rules.DoubleName, "name", "another endpoint of %s has this name", s.Path)
		}
		seen[one.Name] = true
		e.Done()
		v.Source.Endpoints = append(v.Source.Endpoints, one)
	}
}

// endpoint reads one backend that stands in the file; its name is its address where it has none.
func (x *decoder) endpoint(e tomldoc.Scope, v *Service) membership.Endpoint {
	one := membership.Endpoint{
		Name: e.Text("name", ""), Address: address(e, "address", false), Zone: e.Text("zone", v.Zones[max(0, v.Balancer.Zone)]),
		Cell: int(e.Whole("cell", 0, 0, 1<<30)), Weight: e.Number("weight", 1, 0, 1e6),
	}
	if e.Word("status", "serving", "serving", "draining") == "draining" {
		one.Status = membership.Draining
	}
	if one.Name == "" {
		one.Name = one.Address
	}
	if x.version >= 2 && !slices.Contains(v.Zones, one.Zone) {
		e.Bad(rules.UnknownZone, "zone", "one of the zones of the service expected: %s", cmp.Or(strings.Join(v.Zones, ", "), "it names none"))
	}
	return one
}
