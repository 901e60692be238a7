package result

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// sample is a valid result.
func sample() *Result {
	return &Result{
		Format:    Format,
		Scenario:  "s",
		Source:    SourceConsul,
		Dimension: Proxies,
		Hollow:    true,
		Cores:     8,
		Points: []Point{{
			Size:   Size{Proxies: 10, Services: 2, TotalServices: 4, Backends: 23},
			Rounds: []Round{{Seconds: 10, Proxies: Cost{Processes: 1, CPUSeconds: 0.5}}},
		}},
	}
}

// encode returns the result as a file's text.
func encode(t *testing.T, r *Result) string {
	t.Helper()
	var out bytes.Buffer
	if err := Write(&out, r); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestWriteReadRoundTrip(t *testing.T) {
	want := sample()
	got, err := Read("a.json", []byte(encode(t, want)))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Read = %+v, %v; want %+v", got, err, want)
	}
}

func TestReadErrorsNameLineAndField(t *testing.T) {
	good := encode(t, sample())
	for _, test := range []struct{ old, replacement, want string }{
		{`"format": 1`, `"format": 2`, `a.json:2: format: got 2, want 1`},
		{`"format": 1`, `"format": 1, "format": 1`, `a.json:2: format: duplicate field`},
		{`"proxies": 10`, `"proxies": 0`, `a.json:15: points[0].size.proxies: got 0, want 1 to 1e+06`},
		{`"proxies": 10`, `"proxy": 10`, `a.json:15: points[0].size.proxy: unknown field`},
		{`"proxies": 10`, `"proxies": "many"`, `a.json:15: points.size.proxies: got string, want int`},
		{
			`"services_in_all": 4`, `"services_in_all": 1`,
			`a.json:17: points[0].size.services_in_all: got 1, want 2 to 1e+06`,
		},
		{
			`"cpu_seconds": 0.5`, `"cpu_seconds": -0.5`,
			`a.json:27: points[0].rounds[0].proxies.cpu_seconds: got -0.5, want 0 to 1e+15`,
		},
		{
			`"source": "consul"`, `"source": "eureka"`,
			`a.json:4: source: got "eureka", want static, consul, catalog or relay`,
		},
		{good, `{"format": 1}`, `a.json:1: scenario: got "", want a name of 1 to 128 bytes`},
		{good, `{"format": 1`, `a.json:1: unexpected end of document`},
		{good, strings.Repeat("[", 1<<20), `nesting exceeds 16 levels`},
		{good, good + "{}", `unexpected data after the document`},
	} {
		_, err := Read("a.json", []byte(strings.Replace(good, test.old, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want %s", test.replacement, err, test.want)
		}
	}
}

// FuzzRead checks that an error of Read is one line and that Write accepts every result that Read
// accepts.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format": 1, "points": [{"size": {"proxies": 1}, "rounds": [{"seconds": 1}]}]}`))
	f.Add([]byte("{\"a\nb\": [[]]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Read("a.json", data)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\n\r") {
				t.Errorf("error of more than one line: %q", err)
			}
			return
		}
		if err := Write(&bytes.Buffer{}, r); err != nil {
			t.Errorf("Write rejects a result that Read accepts: %v", err)
		}
	})
}
