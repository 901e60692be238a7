package check

import (
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/worker"
)

// checkResponses checks that each request got one complete response of its own in time, unless a
// fault excuses the failure.
func checkResponses(h *indexedHistory) []Verdict {
	var verdicts []Verdict
	for _, e := range h.events {
		if e.Kind != history.Requested {
			continue
		}
		if reason := responseFailure(h, e); reason != "" {
			verdicts = append(verdicts, verdictf(OneResponse, e.At, "%s %s at %s, %d ms: %s",
				e.Class, e.ID, e.To, e.Took/1000, reason))
		}
	}
	return verdicts
}

// responseFailure returns the reason why the response to a request is missing, late or invalid. It
// returns "" if the response is correct or a fault excuses the failure.
func responseFailure(h *indexedHistory, e history.Event) string {
	end := e.At + e.Took
	switch {
	case e.Reason == worker.WrongResponse || e.Reason == worker.TrailingBytes:
		return e.Reason // no fault can cause an invalid response
	case e.Status == 0 && !h.isExcused(e.To, e.At, end):
		return e.Reason
	case e.Status != 0 && end > e.Until+lateLeeway && !h.isExcused(e.To, e.At, end):
		return "its answer came after its client had gone"
	}
	return ""
}

// checkEffects checks that no request and no idempotency key was executed twice, except for
// repetitions that a cell deduplicates.
func checkEffects(h *indexedHistory) []Verdict {
	var verdicts []Verdict
	executed := map[string][]history.Event{} // by idempotency key, or by request if it has no key
	for _, e := range h.events {
		if e.Kind != history.Executed || e.Class != unsafeMethod {
			continue
		}
		what := "key " + e.Key
		if e.Key == "" {
			what = "request " + e.ID
		}
		before := executed[what]
		if slices.ContainsFunc(before, func(first history.Event) bool { return isDeduplicated(first, e) }) {
			continue
		}
		if len(before) > 0 {
			first := before[0]
			verdicts = append(verdicts, verdictf(Effects, e.At, "%s ran at %s, and %d ms before at %s",
				what, e.Who, (e.At-first.At)/1000, first.Who))
		}
		executed[what] = append(before, e)
	}
	return verdicts
}

// isDeduplicated reports whether the cell that executed first drops the repetition.
func isDeduplicated(first, repetition history.Event) bool {
	return repetition.Key != "" && first.Cell == repetition.Cell &&
		repetition.At-first.At < worker.DedupWindow.Microseconds()
}

// checkWarmup checks that no cold backend held more requests than its warm-up allows.
func checkWarmup(h *indexedHistory) []Verdict {
	var verdicts []Verdict
	for _, e := range h.events {
		if e.Kind == history.WarmupOverload && e.N == 1 {
			verdicts = append(verdicts, verdictf(Warmup, e.At,
				"%s was cold and held %d requests, more than it bears", e.Who, e.Took))
		}
	}
	return verdicts
}

// checkMisrouted checks that no sidecar sends a non-idempotent request to another service at a
// backend's address. It checks only sidecars that started after the backend had been deleted from
// the endpoint list. A sidecar that started earlier may have sent the request before it could learn
// of the deletion.
func checkMisrouted(h *indexedHistory) []Verdict {
	var verdicts []Verdict
	deletedAt := map[string]int64{} // times of deletion, by backend that is not in the list
	startedAt := map[string]int64{} // last start times, by process
	for _, e := range h.events {
		switch e.Kind {
		case history.MemberStatus:
			delete(deletedAt, e.Who)
			if e.Reason == "DELETED" {
				deletedAt[e.Who] = e.At
			}
		case history.Started:
			startedAt[e.Who] = e.At
		case history.Misrouted:
			sent, isKnown := h.sent[requestKey{conn: e.Conn, n: e.N}]
			deleted, isDeleted := deletedAt[e.Who]
			if !isKnown || !isDeleted || e.Class != unsafeMethod || e.Key != "" {
				continue
			}
			if started := startedAt[sent.Who]; deleted < started {
				verdicts = append(verdicts, verdictf(Misrouted, e.At,
					"%s, started %d ms after the list lost %s, sent it request %s, which may not be repeated",
					sent.Who, (started-deleted)/1000, e.Who, e.ID))
			}
		default: // other kinds are irrelevant to this check
		}
	}
	return verdicts
}
