package result

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// validate returns a *FieldError for the first field with an invalid value, or nil.
func (r *Result) validate() error {
	switch {
	case r.Format != Format:
		return fieldErrorf("format", "got %d, want %d", r.Format, Format)
	case r.Scenario == "" || len(r.Scenario) > 128 || oneLine(r.Scenario) != r.Scenario:
		return fieldErrorf("scenario", "got %.40q, want a name of 1 to 128 bytes", r.Scenario)
	case !slices.Contains([]Source{SourceStatic, SourceConsul, SourceCatalog, SourceRelay}, r.Source):
		return fieldErrorf("source", "got %.40q, want static, consul, catalog or relay", r.Source)
	case !slices.Contains([]Dimension{Proxies, Services, Backends, Changes, Calls}, r.Dimension):
		const want = "proxies, services, backends, changes or calls"
		return fieldErrorf("dimension", "got %.40q, want "+want, r.Dimension)
	case r.Cores < 0 || r.Cores > 4096:
		return fieldErrorf("cores", "got %d, want 0 to 4096", r.Cores)
	case !isWithin(r.LoadBefore, 0, MaxValue):
		return fieldErrorf("load_before", "got %g, want 0 or more", r.LoadBefore)
	case len(r.Points) == 0 || len(r.Points) > MaxPoints:
		return fieldErrorf("points", "got %d, want 1 to %d", len(r.Points), MaxPoints)
	}
	for i := range r.Points {
		if err := r.Points[i].validate(); err != nil {
			return prefixField(fmt.Sprintf("points[%d]", i), err)
		}
	}
	return nil
}

func (p *Point) validate() error {
	if err := p.Size.validate(); err != nil {
		return prefixField("size", err)
	}
	if len(p.Rounds) == 0 || len(p.Rounds) > MaxRounds {
		return fieldErrorf("rounds", "got %d, want 1 to %d", len(p.Rounds), MaxRounds)
	}
	for i := range p.Rounds {
		if err := p.Rounds[i].validate(); err != nil {
			return prefixField(fmt.Sprintf("rounds[%d]", i), err)
		}
	}
	return nil
}

func (s *Size) validate() error {
	minTotal := float64(min(s.Services, MaxProxies))
	return firstOutOfBounds([]boundedField{
		{name: "proxies", value: float64(s.Proxies), min: 1, max: MaxProxies},
		{name: "services", value: float64(s.Services), max: MaxProxies},
		{name: "services_in_all", value: float64(s.TotalServices), min: minTotal, max: MaxProxies},
		{name: "backends", value: float64(s.Backends), max: MaxProxies},
		{name: "changes_per_second", value: s.ChangesPerSecond, max: MaxValue},
		{name: "calls_per_second", value: s.CallsPerSecond, max: MaxValue},
	})
}

func (r *Round) validate() error {
	if !isWithin(r.Seconds, 1e-3, 1e6) {
		return fieldErrorf("seconds", "got %g, want 0.001 to 1e+06", r.Seconds)
	}
	for _, part := range []struct {
		field string
		value interface{ validate() error }
	}{
		{"proxies", &r.Proxies},
		{"lists", &r.Lists},
		{"relays", &r.Relays},
		{"in_force", &r.Propagation},
		{"call", &r.Call},
	} {
		if err := part.value.validate(); err != nil {
			return prefixField(part.field, err)
		}
	}
	return nil
}

func (c *Cost) validate() error {
	return firstOutOfBounds([]boundedField{
		{name: "processes", value: float64(c.Processes), max: MaxProxies},
		{name: "cpu_seconds", value: c.CPUSeconds, max: MaxValue},
		{name: "rss_bytes", value: float64(c.RSSBytes), max: MaxValue},
		{name: "heap_bytes", value: float64(c.HeapBytes), max: MaxValue},
		{name: "allocated_bytes", value: float64(c.AllocatedBytes), max: MaxValue},
		{name: "allocations", value: float64(c.Allocations), max: MaxValue},
		{name: "goroutines", value: float64(c.Goroutines), max: MaxValue},
		{name: "connections", value: float64(c.Connections), max: MaxValue},
		{name: "bytes_in", value: float64(c.BytesIn), max: MaxValue},
		{name: "bytes_out", value: float64(c.BytesOut), max: MaxValue},
		{name: "messages_in", value: float64(c.MessagesIn), max: MaxValue},
		{name: "messages_out", value: float64(c.MessagesOut), max: MaxValue},
	})
}

func (s *TimeSummary) validate() error {
	return firstOutOfBounds([]boundedField{
		{name: "count", value: float64(s.Count), max: MaxValue},
		{name: "p50", value: s.P50, max: MaxValue},
		{name: "p99", value: s.P99, min: s.P50, max: MaxValue},
		{name: "max", value: s.Max, min: s.P99, max: MaxValue},
	})
}

// boundedField is the value of a numeric field with its inclusive bounds.
type boundedField struct {
	name  string
	value float64
	min   float64
	max   float64
}

// firstOutOfBounds returns a *FieldError for the first field that is out of its bounds, or nil.
func firstOutOfBounds(fields []boundedField) error {
	for _, f := range fields {
		if !isWithin(f.value, f.min, f.max) {
			return fieldErrorf(f.name, "got %g, want %g to %g", f.value, f.min, f.max)
		}
	}
	return nil
}

// isWithin reports whether v is a number (not NaN) within the inclusive bounds.
func isWithin(v, least, most float64) bool { return !math.IsNaN(v) && v >= least && v <= most }

func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// prefixField prepends the path of the enclosing struct to the field of a *FieldError.
func prefixField(path string, err error) error {
	var inner *FieldError
	if errors.As(err, &inner) {
		return &FieldError{Field: path + "." + inner.Field, Err: inner.Err}
	}
	return &FieldError{Field: path, Err: err}
}
