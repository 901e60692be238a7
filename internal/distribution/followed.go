package distribution

import "slices"

// followedResource is a resource that at least one session follows, with its in-force status.
type followedResource struct {
	id         uint32
	name       string
	sessions   map[*Session]struct{}
	proxies    int                         // number of proxies that follow the resource at this relay
	counts     map[Version]int             // numbers of these proxies by version in force
	rejections map[*Session]Rejection      // rejections of these proxies
	reports    map[*Session]ResourceStatus // last report of each relay behind this one
}

// follow adds a resource that no session has followed so far.
func (s *Sessions) follow(name string) *followedResource {
	s.lastID++
	f := &followedResource{
		id:       s.lastID,
		name:     name,
		sessions: make(map[*Session]struct{}),
		counts:   make(map[Version]int),
	}
	s.followed[name] = f
	return f
}

// adjustCount adds delta, which may be negative, to the number of proxies that have a version in
// force.
func (f *followedResource) adjustCount(v Version, delta int) {
	f.proxies += delta
	f.counts[v] += delta
	if f.counts[v] == 0 {
		delete(f.counts, v)
	}
}

// setRejection records the version that a proxy rejects, if any.
func (f *followedResource) setRejection(session *Session, p *Position) {
	if p.Rejected.IsZero() {
		delete(f.rejections, session)
		return
	}
	if f.rejections == nil {
		f.rejections = make(map[*Session]Rejection)
	}
	f.rejections[session] = Rejection{Follower: session.Follower, Version: p.Rejected, Reason: p.Reason}
}

// applyReport records the status that a relay reports of the followers behind it.
func (s *Sessions) applyReport(session *Session, status *ResourceStatus) {
	f := s.followed[status.Resource]
	if f == nil {
		return
	}
	_, found := session.find(f)
	if !found {
		return // a relay reports only followed resources; the unfollow has overtaken this report
	}
	if f.reports == nil {
		f.reports = make(map[*Session]ResourceStatus)
	}
	f.reports[session] = *status
	s.changedStatuses[f.name] = true
}

// IsFollowed reports whether any session follows a resource.
func (s *Sessions) IsFollowed(name string) bool { return s.followed[name] != nil }

// DrainChanged returns the names of the resources whose status has changed since the last call,
// sorted.
func (s *Sessions) DrainChanged() []string {
	names := make([]string, 0, len(s.changedStatuses))
	for name := range s.changedStatuses {
		names = append(names, name)
	}
	clear(s.changedStatuses)
	slices.Sort(names)
	return names
}

// InForce reports whether all proxies that follow a resource have its latest version in force,
// according to the positions and reports that this relay has received.
func (s *Sessions) InForce(name string, latest Version) bool {
	f := s.followed[name]
	if f == nil {
		return true
	}
	if f.counts[latest] != f.proxies {
		return false
	}
	for _, report := range f.reports {
		for _, count := range report.Counts {
			if count.Proxies > 0 && latest.After(count.Version) {
				return false
			}
		}
	}
	return true
}

// Status returns the in-force status of a resource at the proxies of this relay and of the relays
// behind it.
func (s *Sessions) Status(name string, latest Version) ResourceStatus {
	f := s.followed[name]
	if f == nil {
		return MergeStatus(name, latest)
	}
	parts := []*ResourceStatus{f.localStatus(latest)}
	for _, report := range f.reports {
		parts = append(parts, &report)
	}
	return MergeStatus(name, latest, parts...)
}

// localStatus returns the status of the proxies that read from this relay itself.
func (f *followedResource) localStatus(latest Version) *ResourceStatus {
	status := &ResourceStatus{Resource: f.name}
	for version, proxies := range f.counts {
		status.Counts = append(status.Counts, VersionCount{Version: version, Proxies: proxies})
	}
	for _, rejection := range f.rejections {
		status.Rejections = append(status.Rejections, rejection)
	}
	if f.counts[latest] == f.proxies {
		return status // no laggards, so the sessions need not be searched
	}
	for session := range f.sessions {
		if session.Kind != KindProxy {
			continue
		}
		at, _ := session.find(f) // found: f.sessions are those with a position of f
		p := &session.positions[at]
		if latest.After(p.inForce) {
			status.Laggards = append(status.Laggards, Laggard{Follower: session.Follower, InForce: p.inForce})
		}
	}
	return status
}
