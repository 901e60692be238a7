package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// singular returns the singular of a group's name, which is the prefix of its members' names.
func singular(group string) string { return strings.TrimSuffix(group, "s") }

// Names returns the names of a group's members, in order.
func (s *Scenario) Names(group string) []string {
	if group == OnSites {
		processes := memberNames(OnBackends, s.Backends.Processes)
		return slices.Concat(processes, s.Names(OnLists), s.Names(OnSidecars))
	}
	switch group {
	case OnSidecars:
		return memberNames(singular(group), s.Sidecars.Count)
	case OnLists:
		return memberNames(singular(group), s.Lists.Count)
	case OnBackends:
		return memberNames(singular(group), s.Backends.Count)
	case OnClients:
		return memberNames(singular(group), s.Clients.Processes)
	}
	return nil
}

// memberNames returns the names prefix-1 to prefix-count.
func memberNames(prefix string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return names
}

// Index returns the zero-based index of the named process or backend within its group.
func Index(name string) int {
	number, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:]) // all names end with a number
	return number - 1
}

// SiteOf returns the site of the named process or backend.
func (s *Scenario) SiteOf(name string) string { return s.Site(Index(name)) }

// Site returns the site of the group member with an index.
func (s *Scenario) Site(index int) string { return s.Sidecars.Sites[index%len(s.Sidecars.Sites)] }

// Capacity returns, by site, the requests per second that the site's backends can serve when all of
// them are warm. The map is empty if the service time is 0.
func (s *Scenario) Capacity() map[string]float64 {
	capacity := map[string]float64{}
	if s.Backends.ServiceTime <= 0 {
		return capacity
	}
	for i := range s.Backends.Count {
		capacity[s.Site(i)] += float64(s.Backends.Cores) / s.Backends.ServiceTime.Seconds()
	}
	return capacity
}
