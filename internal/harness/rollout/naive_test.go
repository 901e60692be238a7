package rollout_test

import (
	"time"

	"fernlanding/internal/harness/worker"
)

// bug is a bug that is seeded in a stand-in.
type bug string

// The bugs.
const (
	noBug             bug = ""
	bugBackwards      bug = "back"      // goes back to an older version now and then
	bugDropUpdates    bug = "forget"    // drops all updates of one resource but the first
	bugDropItem       bug = "drop-item" // leaves an item out of a delta
	bugDelayUrgent    bug = "hold-back" // delays urgent updates by naiveUrgentDelay
	bugSnapshotsOnly  bug = "whole"     // sends snapshots in place of deltas
	bugHeavyHeartbeat bug = "heartbeat" // sends snapshots when a hold is over
	bugUnboundedCache bug = "backlog"   // caches all updates that it has ever encoded
	bugReportEarly    bug = "early"     // reports as in force what its followers do not have yet
	bugLeaveOut       bug = "uncounted" // leaves a follower out of its reports
	bugCrash          bug = "crash"     // ends by itself
)

// How the stand-ins behave.
const (
	naiveHold            = 300 * time.Millisecond
	naiveRetryDelay      = 20 * time.Millisecond // between two attempts at relays
	naiveUrgentDelay     = 2 * time.Second
	naiveCrashDelay      = 1500 * time.Millisecond
	naiveDroppedResource = "service-1"
	naiveSessionID       = "naive"
)

var _ worker.Follower = (*naiveFollower)(nil)
