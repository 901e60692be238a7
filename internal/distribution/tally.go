package distribution

import "slices"

// followed is a resource that somebody follows.
type followed struct {
	id       uint32
	name     string
	sessions map[*Session]struct{}
	proxies  int
	counts   map[Version]int             // of proxies of this relay
	refused  map[*Session]Rejection      // of proxies of this relay
	reports  map[*Session]ResourceStatus // of the relays behind this one
}

func (s *Sessions) follow(name string) *followed {
	s.lastID++
	f := &followed{id: s.lastID, name: name, sessions: make(map[*Session]struct{}), counts: make(map[Version]int)}
	s.followed[name] = f
	return f
}

func (f *followed) count(v Version, by int) {
	f.proxies += by
	if f.counts[v] += by; f.counts[v] == 0 {
		delete(f.counts, v)
	}
}

func (f *followed) refuse(session *Session, p *Position) {
	if p.Rejected.IsZero() {
		delete(f.refused, session)
		return
	}
	if f.refused == nil {
		f.refused = make(map[*Session]Rejection)
	}
	f.refused[session] = Rejection{session.Follower, p.Rejected, p.Reason}
}

// report takes the status that a relay reports of the followers behind it.
func (s *Sessions) report(session *Session, status *ResourceStatus) {
	f := s.followed[status.Resource]
	if f == nil {
		return
	}
	if _, found := session.find(f); !found {
		return // it reports what it follows
	}
	if f.reports == nil {
		f.reports = make(map[*Session]ResourceStatus)
	}
	f.reports[session] = *status
	s.changed[f.name] = true
}

// IsFollowed tells whether somebody follows a resource.
func (s *Sessions) IsFollowed(name string) bool { return s.followed[name] != nil }

// DrainChanged returns the resources whose status has changed since the last call, sorted.
func (s *Sessions) DrainChanged() []string {
	names := make([]string, 0, len(s.changed))
	for name := range s.changed {
		names = append(names, name)
	}
	clear(s.changed)
	slices.Sort(names)
	return names
}

// InForce tells whether all proxies that follow a resource have its latest version in force, as far as is known here.
func (s *Sessions) InForce(name string, latest Version) bool {
	f := s.followed[name]
	if f == nil {
		return true
	}
	if f.counts[latest] != f.proxies {
		return false
	}
	for _, report := range f.reports {
		for _, c := range report.Counts {
			if c.Proxies > 0 && latest.After(c.Version) {
				return false
			}
		}
	}
	return true
}

// Status is how far a resource is in force at the proxies behind this relay.
func (s *Sessions) Status(name string, latest Version) ResourceStatus {
	f := s.followed[name]
	if f == nil {
		return MergeStatus(name, latest)
	}
	parts := []*ResourceStatus{f.own(latest)}
	for _, report := range f.reports {
		parts = append(parts, &report)
	}
	return MergeStatus(name, latest, parts...)
}

// own is the status of the proxies that read here.
func (f *followed) own(latest Version) *ResourceStatus {
	status := &ResourceStatus{Resource: f.name}
	for v, n := range f.counts {
		status.Counts = append(status.Counts, VersionCount{v, n})
	}
	for _, refusal := range f.refused {
		status.Rejections = append(status.Rejections, refusal)
	}
	if f.counts[latest] == f.proxies {
		return status
	}
	for session := range f.sessions {
		if session.Kind != KindProxy {
			continue
		}
		at, _ := session.find(f)
		if p := &session.positions[at]; latest.After(p.inForce) {
			status.Laggards = append(status.Laggards, Laggard{session.Follower, p.inForce})
		}
	}
	return status
}
