package core

import "time"

// ReserveID reserves the ID of a request whose head has been read, so that the ID belongs to this
// request while its body is read. It returns false if the ID belongs to another request, which is
// open or has ended within Config.RecentIDWindow. The reservation ends with Do or ReleaseID.
func (p *Pool) ReserveID(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserveIDLocked(r)
}

// ReleaseID ends the reservation of a request that is not passed to Do. It has no effect on other
// requests.
func (p *Pool) ReleaseID(r *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests[r.ID] != r {
		p.releaseIDLocked(r)
	}
}

// reserveIDLocked is ReserveID for a caller that holds the lock, which is released during a wait for
// an earlier request.
func (p *Pool) reserveIDLocked(r *Request) bool {
	if p.idHolders[r.ID] == r {
		return true
	}
	p.waitForEarlierLocked(r)
	if p.idHolders[r.ID] != nil || p.endedRecentlyLocked(r.ID) {
		return false
	}
	p.idHolders[r.ID] = r
	return true
}

// waitForEarlierLocked waits for the end of an earlier request with the same ID as r. The wait
// lasts at most Config.DuplicateIDWait and ends at the client deadline of r. The lock is released
// during the wait.
func (p *Pool) waitForEarlierLocked(r *Request) {
	earlier := p.idHolders[r.ID]
	if earlier == nil || p.duplicateIDWait == 0 {
		return
	}
	if earlier.done == nil {
		earlier.done = make(chan struct{})
	}
	done := earlier.done
	p.mu.Unlock()
	defer p.mu.Lock()
	timeout := time.NewTimer(min(p.duplicateIDWait, time.Until(p.clock.Time(r.ClientDeadline))))
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
}

// releaseIDLocked ends the reservation of a request's ID, if the request has it.
func (p *Pool) releaseIDLocked(r *Request) {
	if p.idHolders[r.ID] != r {
		return
	}
	delete(p.idHolders, r.ID)
	if r.done != nil {
		close(r.done)
		r.done = nil
	}
}

// endedRecentlyLocked reports whether a request with the ID has ended within Config.RecentIDWindow.
func (p *Pool) endedRecentlyLocked(id string) bool {
	if p.forwardedIDs == nil {
		return false
	}
	now := p.clock.Now()
	return p.forwardedIDs.contains(now, id) || p.unforwardedIDs.contains(now, id)
}

// rememberIDLocked records that a request has ended.
func (p *Pool) rememberIDLocked(r *Request) {
	if p.forwardedIDs == nil {
		return
	}
	ids := p.unforwardedIDs
	if r.attempts > 0 {
		ids = p.forwardedIDs
	}
	ids.add(p.clock.Now(), r.ID)
}
