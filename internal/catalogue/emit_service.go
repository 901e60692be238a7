package catalogue

import (
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// writeService writes a service as the application uses it: the owner's table with the values that
// the call overrides.
func (e *emitter) writeService(s *service) {
	c := e.app.callOf(s)
	path := "services." + keyText(s.name)
	e.writeLine(s.table.Place, "")
	e.writeLine(s.table.Place, "[%s]", path)
	e.writeFields(s.table, "membership")
	e.writeFields(s.table, sourceFields...)
	if s.team != "" {
		e.writeLine(s.table.Fields["team"].Place, "owner = %s", quote(s.team))
	}
	e.writeZones(s, c)
	if c != nil {
		e.writeFields(c.table, "share")
		e.writeLine(c.table.Place, "siblings = %d", max(1, s.callerInstances))
		e.writeLine(c.table.Place, "ordinal = %d", c.replicaIndex)
	}
	for _, name := range serviceFields {
		callerMayOverride := slices.Contains(callFields, name)
		if value := effectiveValue(s.table, c, name, callerMayOverride); value != nil {
			e.writeField(name, value)
		}
	}
	e.writeEndpoints(s)
	for _, name := range serviceTables {
		if value := effectiveValue(s.table, c, name, true); value != nil {
			e.writeTable(path+"."+name, value)
		}
	}
	for _, name := range s.classNames {
		if e.usedClasses[s.name][name] {
			e.writeClass(path, s, c, name)
		}
	}
	e.writeTenants(path, s, c)
}

// effectiveValue returns the value of a service's field. It is the call's value if the caller may
// override the field and does, and otherwise the owner's. It returns nil if neither is set.
func effectiveValue(owner *tomldoc.Value, c *call, name string, callerMayOverride bool) *tomldoc.Value {
	if callerMayOverride && c != nil && c.table.Fields[name] != nil {
		return c.table.Fields[name]
	}
	return owner.Fields[name]
}

// writeZones writes the zones of a service and the local zone of the application.
func (e *emitter) writeZones(s *service, c *call) {
	if len(s.zones) == 0 {
		return
	}
	e.writeField("zones", s.table.Fields["zones"])
	local := effectiveValue(e.app.table, c, "zone", true)
	if local != nil {
		e.writeField("zone", local)
	} else {
		e.writeLine(s.table.Fields["zones"].Place, "zone = %s", quote(s.zones[0]))
	}
}

// writeEndpoints writes the static endpoints of a service with the cell and the zone of their pods.
func (e *emitter) writeEndpoints(s *service) {
	if len(s.pods) == 0 {
		return
	}
	e.writeLine(s.table.Place, "endpoints = [")
	for _, p := range s.pods {
		for _, endpoint := range p.endpoints {
			e.writeLine(endpoint.Place, "  {%s },", endpointText(p, endpoint))
		}
	}
	e.writeLine(s.table.Place, "]")
}

// endpointText returns the fields of an endpoint as TOML, in the order of the file format.
func endpointText(p pod, endpoint *tomldoc.Value) string {
	if endpoint.Kind != tomldoc.Table {
		return "" // decoding the generated file reports it
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

// writeClass writes a class of a service with the values that the call narrows.
func (e *emitter) writeClass(path string, s *service, c *call, name string) {
	class := s.classes[name]
	e.writeLine(class.table.Place, "")
	e.writeLine(class.table.Place, "[%s.classes.%s]", path, keyText(name))
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
			e.writeField(field, value)
		}
	}
}

// writeTenants writes the tenants for which the application calls, with the application's fraction
// of each tenant's quota.
func (e *emitter) writeTenants(path string, s *service, c *call) {
	fraction := capacityFraction(c)
	for _, name := range sortedKeys(s.tenants) {
		if c != nil && len(c.tenants) > 0 && !slices.Contains(c.tenants, name) {
			continue
		}
		tenant := s.tenants[name]
		e.writeLine(tenant.Place, "")
		e.writeLine(tenant.Place, "[%s.tenants.%s]", path, keyText(name))
		e.writeFields(tenant, "portion")
		e.writeQuota(tenant.Fields["quota"], fraction)
	}
}

// writeQuota writes a tenant's quota multiplied by the application's fraction of it. A value that
// is not a number is written unchanged, so that decoding the generated file reports it.
func (e *emitter) writeQuota(quota *tomldoc.Value, fraction float64) {
	if quota == nil {
		return
	}
	isNumber := quota.Kind == tomldoc.Integer || quota.Kind == tomldoc.Float
	number, err := parseFloat(quota.Text)
	if !isNumber || err != nil {
		e.writeField("quota", quota)
		return
	}
	e.writeLine(quota.Place, "quota = %s", floatText(number*fraction))
}

// capacityFraction returns the fraction of a service's capacity that a call may use. The default
// is 1.
func capacityFraction(c *call) float64 {
	if c == nil || c.table.Fields["share"] == nil {
		return 1
	}
	fraction, err := parseFloat(c.table.Fields["share"].Text)
	if err != nil {
		return 1 // decoding the generated file reports it
	}
	return fraction
}
