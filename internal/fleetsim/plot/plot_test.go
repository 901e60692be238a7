package plot

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fernlanding/internal/fleetsim"
	"io"
	"os"
	"strings"
	"testing"
)

// A day in which a deeper tier fails: the plot names the evidence that cut the count, and a copy that is not there is a fault.
func TestAPlotNamesWhatRefuses(t *testing.T) {
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
	r := fleetsim.Play(d, fleetsim.Options{Trace: true})
	var text, svg bytes.Buffer
	if err := Text(&text, r, 0, 1); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 38 || !strings.Contains(text.String(), "by failed calls") || !strings.Contains(text.String(), "tenant count of large, at") {
		t.Errorf("%d lines:\n%s", len(lines), text.String())
	}
	if err := SVG(&svg, r, 1, 0); err != nil {
		t.Fatal(err)
	}
	for x := xml.NewDecoder(&svg); ; {
		if _, err := x.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := Text(io.Discard, r, 0, 99); err == nil || err.Error() != "no copy 99 of tier 0 in this day" {
		t.Errorf("got %v", err)
	}
}
