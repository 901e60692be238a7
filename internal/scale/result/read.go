package result

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
)

// Bounds of a result file.
const (
	MaxFile    = 4 << 20 // bytes
	MaxPoints  = 64
	MaxRounds  = 32 // of a point
	MaxProxies = 1_000_000
	MaxFigure  = 1e15 // of any number in a file
	maxDepth   = 16   // of a document's nesting
)

// Read reads a result file strictly. An error is one line: the file, the line, the field, what was found and expected.
func Read(name string, data []byte) (*Result, error) {
	r := &Result{}
	lines, err := Decode(name, data, r)
	if err != nil {
		return nil, err
	}
	if field, fault := r.check(); fault != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", name, max(1, lines[field]), field, fault)
	}
	return r, nil
}

// Write writes a result file that Read takes.
func Write(w io.Writer, r *Result) error {
	if field, fault := r.check(); fault != nil {
		return fmt.Errorf("result: %s: %w", field, fault)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Lines are the lines on which the fields of a file stand, by their paths such as "points[2].size.proxies".
type Lines map[string]int

// Decode reads a JSON document into v, a pointer to a struct. Fields that the struct lacks, fields that stand twice, and
// anything behind the document are refused by file, line and field.
func Decode(name string, data []byte, v any) (Lines, error) {
	if len(data) > MaxFile {
		return nil, fmt.Errorf("%s: %d bytes, at most %d expected", name, len(data), MaxFile)
	}
	w := walker{data: data, in: json.NewDecoder(bytes.NewReader(data)), lines: Lines{}}
	if err := w.value("", reflect.TypeOf(v).Elem()); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, w.line(w.in.InputOffset()), err)
	}
	if _, err := w.in.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s:%d: something behind the document's end, nothing expected", name, w.line(w.in.InputOffset()))
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, w.typeFault(name, err)
	}
	return w.lines, nil
}

// walker goes through a document beside the type that it is to fill.
type walker struct {
	data  []byte
	in    *json.Decoder
	lines Lines
	depth int
}

func (w *walker) line(offset int64) int {
	return 1 + bytes.Count(w.data[:min(offset, int64(len(w.data)))], []byte("\n"))
}

// value passes one value of type t. What does not fit the type is left to the decoder.
func (w *walker) value(path string, t reflect.Type) error {
	token, err := w.in.Token()
	if err != nil {
		return syntaxFault(err)
	}
	w.lines[path] = w.line(w.in.InputOffset())
	if w.depth++; w.depth > maxDepth {
		return fmt.Errorf("%s: deeper than %d levels", shown(path), maxDepth)
	}
	defer func() { w.depth-- }()
	switch token {
	case json.Delim('{'):
		return w.object(path, t)
	case json.Delim('['):
		return w.array(path, t)
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for w.in.More() {
		token, err := w.in.Token()
		if err != nil {
			return syntaxFault(err)
		}
		key, _ := token.(string)
		field := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return fmt.Errorf("%s: stands twice, once expected", shown(field))
		}
		seen[key] = true
		inner, found := fieldType(t, key)
		if !found {
			return fmt.Errorf("%s: unknown field", shown(field))
		}
		if err := w.value(field, inner); err != nil {
			return err
		}
	}
	_, err := w.in.Token() // the closing brace
	return syntaxFault(err)
}

func (w *walker) array(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.in.More(); i++ {
		if err := w.value(path+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	_, err := w.in.Token() // the closing bracket
	return syntaxFault(err)
}

// fieldType is the type of a struct's field by its name in JSON. Any field is taken of what is no struct: the decoder
// refuses it.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	if t == nil || t.Kind() != reflect.Struct {
		return nil, true
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == key {
			return f.Type, true
		}
	}
	return nil, false
}

func syntaxFault(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("the document ends early")
	}
	if err != nil {
		return errors.New(oneLine(err.Error()))
	}
	return nil
}

func (w *walker) typeFault(name string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("%s:%d: %s: %s found, %s expected", name, w.line(wrong.Offset), shown(wrong.Field), wrong.Value, wrong.Type.Kind())
	}
	return fmt.Errorf("%s: %s", name, oneLine(err.Error()))
}

// shown is a field's path as it stands in an error: short, on one line.
func shown(path string) string { return oneLine(fmt.Sprintf("%.100s", path)) }

func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

// check returns the first field with an impossible value.
func (r *Result) check() (field string, err error) {
	switch {
	case r.Format != Format:
		return "format", fmt.Errorf("%d found, %d expected", r.Format, Format)
	case r.Scenario == "" || len(r.Scenario) > 128 || oneLine(r.Scenario) != r.Scenario:
		return "scenario", fmt.Errorf("%.40q found, a name of 1 to 128 bytes expected", r.Scenario)
	case !isOneOf(r.Source, SourceStatic, SourceConsul, SourceCatalog, SourceRelay):
		return "source", fmt.Errorf("%.40q found, static, consul, catalog or relay expected", r.Source)
	case !isOneOf(r.Dimension, Proxies, Services, Backends, Changes, Calls):
		return "dimension", fmt.Errorf("%.40q found, proxies, services, backends, changes or calls expected", r.Dimension)
	case r.Cores < 0 || r.Cores > 4096:
		return "cores", fmt.Errorf("%d found, 0 to 4096 expected", r.Cores)
	case !within(r.LoadBefore, 0, MaxFigure):
		return "load_before", fmt.Errorf("%g found, 0 or more expected", r.LoadBefore)
	case len(r.Points) == 0 || len(r.Points) > MaxPoints:
		return "points", fmt.Errorf("%d found, 1 to %d expected", len(r.Points), MaxPoints)
	}
	for i := range r.Points {
		if field, err := r.Points[i].check(); err != nil {
			return fmt.Sprintf("points[%d].%s", i, field), err
		}
	}
	return "", nil
}

func isOneOf[T comparable](v T, words ...T) bool {
	for _, w := range words {
		if v == w {
			return true
		}
	}
	return false
}

func within(v, least, most float64) bool { return !math.IsNaN(v) && v >= least && v <= most }

func (p *Point) check() (field string, err error) {
	if field, err := p.Size.check(); err != nil {
		return "size." + field, err
	}
	if len(p.Rounds) == 0 || len(p.Rounds) > MaxRounds {
		return "rounds", fmt.Errorf("%d found, 1 to %d expected", len(p.Rounds), MaxRounds)
	}
	for i := range p.Rounds {
		if field, err := p.Rounds[i].check(); err != nil {
			return fmt.Sprintf("rounds[%d].%s", i, field), err
		}
	}
	return "", nil
}

// namedFigure is a figure with its field.
type namedFigure struct {
	field       string
	value       float64
	least, most float64
}

func firstOutside(all ...namedFigure) (field string, err error) {
	for _, f := range all {
		if !within(f.value, f.least, f.most) {
			return f.field, fmt.Errorf("%g found, %g to %g expected", f.value, f.least, f.most)
		}
	}
	return "", nil
}

func (s *Size) check() (field string, err error) {
	return firstOutside(
		namedFigure{"proxies", float64(s.Proxies), 1, MaxProxies},
		namedFigure{"services", float64(s.Services), 0, MaxProxies},
		namedFigure{"services_in_all", float64(s.ServicesInAll), float64(min(s.Services, MaxProxies)), MaxProxies},
		namedFigure{"backends", float64(s.Backends), 0, MaxProxies},
		namedFigure{"changes_per_second", s.ChangesPerSecond, 0, MaxFigure},
		namedFigure{"calls_per_second", s.CallsPerSecond, 0, MaxFigure},
	)
}

func (r *Round) check() (field string, err error) {
	if !within(r.Seconds, 1e-3, 1e6) {
		return "seconds", fmt.Errorf("%g found, 0.001 to 1e+06 expected", r.Seconds)
	}
	for _, role := range []struct {
		name string
		cost *Cost
	}{{"proxies", &r.Proxies}, {"lists", &r.Lists}, {"relays", &r.Relays}} {
		if field, err := role.cost.check(); err != nil {
			return role.name + "." + field, err
		}
	}
	if field, err := r.InForce.check(); err != nil {
		return "in_force." + field, err
	}
	if field, err := r.Call.check(); err != nil {
		return "call." + field, err
	}
	return "", nil
}

func (c *Cost) check() (field string, err error) {
	return firstOutside(
		namedFigure{"processes", float64(c.Processes), 0, MaxProxies},
		namedFigure{"cpu_seconds", c.CPUSeconds, 0, MaxFigure},
		namedFigure{"rss_bytes", float64(c.RSSBytes), 0, MaxFigure},
		namedFigure{"heap_bytes", float64(c.HeapBytes), 0, MaxFigure},
		namedFigure{"allocated_bytes", float64(c.AllocatedBytes), 0, MaxFigure},
		namedFigure{"allocations", float64(c.Allocations), 0, MaxFigure},
		namedFigure{"goroutines", float64(c.Goroutines), 0, MaxFigure},
		namedFigure{"connections", float64(c.Connections), 0, MaxFigure},
		namedFigure{"bytes_in", float64(c.BytesIn), 0, MaxFigure},
		namedFigure{"bytes_out", float64(c.BytesOut), 0, MaxFigure},
		namedFigure{"messages_in", float64(c.MessagesIn), 0, MaxFigure},
		namedFigure{"messages_out", float64(c.MessagesOut), 0, MaxFigure},
	)
}

func (s *Spread) check() (field string, err error) {
	return firstOutside(
		namedFigure{"count", float64(s.Count), 0, MaxFigure},
		namedFigure{"p50", s.P50, 0, MaxFigure},
		namedFigure{"p99", s.P99, s.P50, MaxFigure},
		namedFigure{"max", s.Max, s.P99, MaxFigure},
	)
}
