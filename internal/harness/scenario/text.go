package scenario

import (
	"fmt"
	"strconv"
	"strings"
)

// Text returns a schedule in the format of a scenario file.
func Text(faults []Fault) string {
	var text strings.Builder
	for _, fault := range faults {
		writeFault(&text, fault)
	}
	return text.String()
}

// writeFault writes one fault as a TOML table, followed by an empty line.
func writeFault(text *strings.Builder, f Fault) {
	fmt.Fprintf(text, "[[faults]]\nat = %q\nfor = %q\nkind = %q\n", f.At, f.Duration, f.Kind)
	switch kindTargets[f.Kind] {
	case onLinks:
		fmt.Fprintf(text, "link = %q\non = %q\nway = %q\n", f.Link, f.Group, f.Direction)
	case onProcesses:
		fmt.Fprintf(text, "on = %q\n", f.Group)
	default: // the kind implies the group
	}
	if len(f.Names) > 0 {
		var names []string
		for _, name := range f.Names {
			names = append(names, strconv.Quote(name))
		}
		fmt.Fprintf(text, "names = [%s]\n", strings.Join(names, ", "))
	}
	if f.CrossSite {
		fmt.Fprintf(text, "site = %q\nacross = true\n", f.Site)
	}
	if f.Group == OnSites {
		fmt.Fprintf(text, "site = %q\n", f.Site)
	}
	if f.KeepListed {
		text.WriteString("unnoticed = true\n")
	}
	if f.Delay+f.Jitter > 0 {
		fmt.Fprintf(text, "delay = %q\njitter = %q\n", f.Delay, f.Jitter)
	}
	if f.Kind == Hold {
		fmt.Fprintf(text, "bytes = %d\n", f.Bytes)
	}
	if f.Kind == Slow {
		fmt.Fprintf(text, "rate = %d\n", f.Rate)
	}
	text.WriteString("\n")
}
