package plot

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"fernlanding/internal/fleetsim"
)

// On a day on which a deeper tier fails, the plot must name the evidence that cut the limit. A
// replica that the trace does not contain must be an error.
func TestPlotNamesReasons(t *testing.T) {
	var files []fleetsim.File
	for _, n := range []string{"../testdata/base.toml", "../testdata/hard/fail-deep.toml"} {
		data, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, fleetsim.File{Name: n, Data: data})
	}
	d, err := fleetsim.Read(files...)
	if err != nil {
		t.Fatal(err)
	}
	d.Seed = 7
	r := fleetsim.Run(d, fleetsim.Options{Trace: true})
	var text, svg bytes.Buffer
	if err := Text(&text, r, 0, 1); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 38 || !strings.Contains(text.String(), "by failed calls") ||
		!strings.Contains(text.String(), "tenant count of large, at") {
		t.Errorf("got %d lines, want 38 lines with the reasons of the sheds:\n%s", len(lines), text.String())
	}
	if err := SVG(&svg, r, 1, 0); err != nil {
		t.Fatal(err)
	}
	for decoder := xml.NewDecoder(&svg); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := Text(io.Discard, r, 0, 99); err == nil || err.Error() != "no copy 99 of tier 0 in this day" {
		t.Errorf("Text for an unknown replica: got error %v", err)
	}
}
