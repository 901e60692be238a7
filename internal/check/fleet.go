package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Fleet checks the files of a fleet against each other. It skips files that a sidecar would reject.
func Fleet(docs []*config.Document, o Options) tomldoc.Diagnostics {
	f := fleet{
		maxAmplification: o.MaxAmplification,
		references:       map[string]*serviceReference{},
		endpoints:        map[string]*endpoint{},
		capacity:         map[string]float64{},
		reportedCycles:   map[string]bool{},
	}
	if f.maxAmplification == 0 {
		f.maxAmplification = catalogue.DefaultMaxAmplification
	}
	for _, doc := range docs {
		if doc != nil && doc.App != nil && doc.App.Kind == config.Application {
			f.docs = append(f.docs, doc)
		}
	}
	slices.SortStableFunc(f.docs, func(a, b *config.Document) int { return strings.Compare(a.File, b.File) })
	f.checkNames()
	f.checkHosts()
	f.checkServices()
	f.checkChains()
	f.checkMoves(o.Deployed)
	return f.diagnostics
}

// fleet is the set of files that are checked together.
type fleet struct {
	docs             []*config.Document // sorted by file
	maxAmplification float64
	diagnostics      tomldoc.Diagnostics
	references       map[string]*serviceReference // keyed by service
	endpoints        map[string]*endpoint         // keyed by endpointKeys
	capacity         map[string]float64           // sums of the capacity fractions, keyed by service
	reportedCycles   map[string]bool
}

// report adds a diagnostic at a path of a file.
func (f *fleet) report(
	doc *config.Document, rule rules.ID, path []string, found, expect string, see tomldoc.Place,
) {
	place, isStated := doc.Place(path...)
	if !isStated && found != "" {
		found += " by default"
	}
	field := fieldName(path)
	if doc.App != nil && len(path) > 0 && path[0] != "services" {
		field = doc.App.Name + ": " + field
	}
	f.diagnostics = append(f.diagnostics, tomldoc.Diagnostic{
		Place: place, Rule: rule, Field: field, Found: found, Expect: expect, See: see,
	})
}

// fieldName returns the text of a path in diagnostics: names separated by dots, and indexes in
// brackets.
func fieldName(path []string) string {
	field := ""
	for i, element := range path {
		_, err := strconv.Atoi(element)
		isIndex := err == nil
		switch {
		case isIndex:
			field += "[" + element + "]"
		case i > 0:
			field += "." + element
		default:
			field = element
		}
	}
	return field
}

// path returns the path with the given elements.
func path(elements ...string) []string { return elements }

// itemPath returns the path of an item of an array. The index counts from 0, the element of the
// path from 1.
func itemPath(index int, array ...string) []string {
	return append(array, strconv.Itoa(index+1))
}

// formatNumber returns the text of a number in diagnostics.
func formatNumber(number float64) string { return fmt.Sprintf("%.4g", number) }

// checkNames reports files with the application name of an earlier file.
func (f *fleet) checkNames() {
	first := map[string]*config.Document{}
	for _, doc := range f.docs {
		name := doc.App.Name
		if other := first[name]; other != nil && name != "" {
			see, _ := other.Place("name")
			f.report(doc, rules.AppTwice, path("name"), strconv.Quote(name),
				"already the name of the application of another file", see)
			continue
		}
		first[name] = doc
	}
}

// listener is a listener of an application.
type listener struct {
	doc     *config.Document
	index   int
	address string
}

// addressPath returns the path of the listener's address.
func (l listener) addressPath() []string {
	return append(itemPath(l.index, "listeners"), "address")
}

// checkHosts reports listeners of different applications on the same host that cannot both be open.
func (f *fleet) checkHosts() {
	byPort := map[string][]listener{} // keyed by host and port
	for _, doc := range f.docs {
		if doc.App.Host == "" {
			continue
		}
		for i, l := range doc.App.Listeners {
			port := doc.App.Host + " " + l.Address[strings.LastIndexByte(l.Address, ':')+1:]
			opened := listener{doc: doc, index: i, address: l.Address}
			f.checkPort(opened, byPort[port])
			byPort[port] = append(byPort[port], opened)
		}
	}
}

// checkPort reports a listener whose address conflicts with that of another application.
func (f *fleet) checkPort(l listener, others []listener) {
	for _, other := range others {
		if other.doc == l.doc || !config.AddressesConflict(other.address, l.address) {
			continue
		}
		see, _ := other.doc.Place(other.addressPath()...)
		expect := fmt.Sprintf("overlaps with a listener of application %s on host %s",
			other.doc.App.Name, l.doc.App.Host)
		f.report(l.doc, rules.HostClash, l.addressPath(), strconv.Quote(l.address), expect, see)
		return
	}
}
