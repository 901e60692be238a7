package follow

import (
	"fmt"

	"fernlanding/internal/distribution"
)

// applyUpdates passes the updates of a response to their subscribers. It returns an error if an
// update does not apply to the version in force, because the relay's session is then inconsistent.
// A rejection by a subscriber is not an error.
func (f *Follower) applyUpdates(updates []distribution.Update) error {
	for i := range updates {
		if err := f.applyUpdate(&updates[i]); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdate passes one update to its subscriber. Its errors are those of applyUpdates.
func (f *Follower) applyUpdate(u *distribution.Update) error {
	f.mu.Lock()
	sub := f.subscriptions[u.Resource]
	if sub == nil {
		f.unsentUnfollowed[u.Resource] = true // sent again, because an older read may have arrived after the unfollow
		f.mu.Unlock()
		return nil
	}
	inForce, unsent := sub.position.InForce, f.unsentPositions[u.Resource]
	f.mu.Unlock()
	if err := checkApplies(u, inForce); err != nil {
		if unsent {
			return nil // sent before the relay received the position of a new subscription
		}
		return err
	}
	err := sub.subscriber.ApplyUpdate(*u)
	f.recordResult(u, sub, err)
	return nil
}

// recordResult records whether a subscriber has applied an update, for the next read to report.
func (f *Follower) recordResult(u *distribution.Update, sub *subscription, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscriptions[u.Resource] != sub {
		return
	}
	f.unsentPositions[u.Resource] = true
	if err != nil {
		f.stats.Rejected++
		sub.position.Rejected = u.Version
		sub.position.Reason = rejectionReason(err)
		f.cfg.Log.Warn("distribution: update rejected",
			"resource", u.Resource, "version", u.Version.String(), "error", err)
		return
	}
	f.stats.Updates++
	if u.IsSnapshot() {
		f.stats.SnapshotUpdates++
	}
	sub.position = distribution.Position{Resource: u.Resource, InForce: u.Version}
}

// checkApplies returns an error if an update does not apply to the version in force.
func checkApplies(u *distribution.Update, inForce distribution.Version) error {
	if !u.Version.After(inForce) {
		return fmt.Errorf("%s: update to version %v is not after version %v", u.Resource, u.Version, inForce)
	}
	if !u.IsSnapshot() && u.From != inForce {
		return &distribution.DeltaBaseError{Resource: u.Resource, Current: inForce, From: u.From}
	}
	return nil
}

// rejectionReason returns the text of an error, truncated to MaxReasonBytes at the end of a UTF-8
// character.
func rejectionReason(err error) string {
	text := err.Error()
	for end := min(len(text), distribution.MaxReasonBytes); ; end-- {
		startsCharacter := end < len(text) && text[end]&0xc0 != 0x80
		if end == len(text) || end == 0 || startsCharacter {
			return text[:end]
		}
	}
}
