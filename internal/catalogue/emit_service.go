package catalogue

import (
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// service writes a service as the application uses it: the owner's table with what the call
// narrows.
func (e *emitter) service(s *service) {
	c := e.app.callOf(s)
	path := "services." + keyText(s.name)
	e.line(s.table.Place, "")
	e.line(s.table.Place, "[%s]", path)
	e.fields(s.table, "membership")
	e.fields(s.table, sourceFields...)
	if s.team != "" {
		e.line(s.table.Fields["team"].Place, "owner = %s", quote(s.team))
	}
	e.zone(s, c)
	if c != nil {
		e.fields(c.table, "share")
		e.line(c.table.Place, "siblings = %d", max(1, s.callerInstances))
		e.line(c.table.Place, "ordinal = %d", c.replicaIndex)
	}
	for _, name := range serviceFields {
		isCallers := slices.Contains(callFields, name)
		if value := narrowed(s.table, c, name, isCallers); value != nil {
			e.field(name, value)
		}
	}
	e.endpoints(s)
	for _, name := range serviceTables {
		if value := narrowed(s.table, c, name, true); value != nil {
			e.table(path+"."+name, value)
		}
	}
	for _, name := range s.classNames {
		if e.usedClasses[s.name][name] {
			e.class(path, s, c, name)
		}
	}
	e.tenants(path, s, c)
}

// narrowed returns a field of a service: the call's own value where the caller may state one and
// does, else the owner's. It returns nil if neither has it.
func narrowed(owner *tomldoc.Value, c *call, name string, isCallers bool) *tomldoc.Value {
	if isCallers && c != nil && c.table.Fields[name] != nil {
		return c.table.Fields[name]
	}
	return owner.Fields[name]
}

// zone writes the zones of a service and the application's local zone.
func (e *emitter) zone(s *service, c *call) {
	if len(s.zones) == 0 {
		return
	}
	e.field("zones", s.table.Fields["zones"])
	local := narrowed(e.app.table, c, "zone", true)
	if local != nil {
		e.field("zone", local)
	} else {
		e.line(s.table.Fields["zones"].Place, "zone = %s", quote(s.zones[0]))
	}
}

// endpoints writes the static endpoints of a service, each with the cell and zone of its pod.
func (e *emitter) endpoints(s *service) {
	if len(s.pods) == 0 {
		return
	}
	e.line(s.table.Place, "endpoints = [")
	for _, p := range s.pods {
		for _, endpoint := range p.endpoints {
			e.line(endpoint.Place, "  {%s },", endpointText(p, endpoint))
		}
	}
	e.line(s.table.Place, "]")
}

// endpointText returns the fields of an endpoint in the order of the file's format.
func endpointText(p pod, endpoint *tomldoc.Value) string {
	if endpoint.Kind != tomldoc.Table {
		return "" // reported where the generated file is decoded
	}
	var b strings.Builder
	separator := " "
	for _, field := range []struct {
		name string
		of   *tomldoc.Value
	}{
		{"name", endpoint},
		{"address", endpoint},
		{"cell", p.table},
		{"zone", p.table},
		{"weight", endpoint},
		{"status", endpoint},
	} {
		value := field.of.Fields[field.name]
		if value == nil {
			continue
		}
		b.WriteString(separator + field.name + " = " + valueText(value))
		separator = ", "
	}
	return b.String()
}

// class writes a class of a service with what the call narrows.
func (e *emitter) class(path string, s *service, c *call, name string) {
	class := s.classes[name]
	e.line(class.table.Place, "")
	e.line(class.table.Place, "[%s.classes.%s]", path, keyText(name))
	called := &calledClass{}
	if c != nil {
		if own := c.class(name); own != nil {
			called = own
		}
	}
	for _, field := range classFields {
		value := class.table.Fields[field]
		if own := called.field(field); own != nil && slices.Contains(narrowableFields, field) {
			value = own
		}
		if value != nil {
			e.field(field, value)
		}
	}
}

// tenants writes the tenants that the application calls for, each with the application's part of
// the tenant's quota.
func (e *emitter) tenants(path string, s *service, c *call) {
	fraction := capacityFraction(c)
	for _, name := range sortedKeys(s.tenants) {
		if c != nil && len(c.tenants) > 0 && !slices.Contains(c.tenants, name) {
			continue
		}
		tenant := s.tenants[name]
		e.line(tenant.Place, "")
		e.line(tenant.Place, "[%s.tenants.%s]", path, keyText(name))
		e.fields(tenant, "portion")
		e.quota(tenant.Fields["quota"], fraction)
	}
}

// quota writes a tenant's quota times the application's fraction of it. What is no number is
// written as it stands, so that it is reported where the generated file is decoded.
func (e *emitter) quota(quota *tomldoc.Value, fraction float64) {
	if quota == nil {
		return
	}
	isNumber := quota.Kind == tomldoc.Integer || quota.Kind == tomldoc.Float
	number, err := parseFloat(quota.Text)
	if !isNumber || err != nil {
		e.field("quota", quota)
		return
	}
	e.line(quota.Place, "quota = %s", floatText(number*fraction))
}

// capacityFraction returns the fraction of a service's capacity that a call may use; 1 where the
// call does not say.
func capacityFraction(c *call) float64 {
	if c == nil || c.table.Fields["share"] == nil {
		return 1
	}
	fraction, err := parseFloat(c.table.Fields["share"].Text)
	if err != nil {
		return 1 // reported where the generated file is decoded
	}
	return fraction
}
