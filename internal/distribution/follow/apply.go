package follow

import (
	"fmt"

	"fernlanding/internal/distribution"
)

// applyUpdates hands the updates of a response to their subscribers. An error says that an update
// does not apply to what is in force, so that the relay can't be trusted with the session; a
// subscriber's rejection is none.
func (f *Follower) applyUpdates(updates []distribution.Update) error {
	for i := range updates {
		if err := f.applyUpdate(&updates[i]); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdate hands one update to its subscriber. Errors are those of applyUpdates.
func (f *Follower) applyUpdate(u *distribution.Update) error {
	f.mu.Lock()
	sub := f.subscriptions[u.Resource]
	if sub == nil {
		f.unsentUnfollowed[u.Resource] = true // sent again: it may have crossed the read
		f.mu.Unlock()
		return nil
	}
	inForce, unsent := sub.position.InForce, f.unsentPositions[u.Resource]
	f.mu.Unlock()
	if err := checkApplies(u, inForce); err != nil {
		if unsent {
			return nil // the relay did not know what is in force: its response crossed a new subscription
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

// checkApplies returns an error if an update does not lead on from the version in force.
func checkApplies(u *distribution.Update, inForce distribution.Version) error {
	if !u.Version.After(inForce) {
		return fmt.Errorf("%s: version %v found, one after %v expected", u.Resource, u.Version, inForce)
	}
	if !u.IsSnapshot() && u.From != inForce {
		return &distribution.DeltaBaseError{Resource: u.Resource, Current: inForce, From: u.From}
	}
	return nil
}

// rejectionReason returns an error's text, cut to MaxReasonBytes at the end of a UTF-8 character.
func rejectionReason(err error) string {
	text := err.Error()
	for end := min(len(text), distribution.MaxReasonBytes); ; end-- {
		startsCharacter := end < len(text) && text[end]&0xc0 != 0x80
		if end == len(text) || end == 0 || startsCharacter {
			return text[:end]
		}
	}
}
