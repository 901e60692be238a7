package rollout_test

import (
	"time"

	"fernlanding/internal/harness/worker"
)

// bug is a bug seeded into a stand-in.
type bug string

// The bugs.
const (
	noBug             bug = ""
	bugBackwards      bug = "back"      // returns to an older version from time to time
	bugDropUpdates    bug = "forget"    // drops all updates of one resource except the first
	bugDropItem       bug = "drop-item" // omits an item from deltas
	bugDelayUrgent    bug = "hold-back" // delays urgent updates by naiveUrgentDelay
	bugSnapshotsOnly  bug = "whole"     // sends snapshots instead of deltas
	bugHeavyHeartbeat bug = "heartbeat" // sends snapshots at the end of a hold
	bugUnboundedCache bug = "backlog"   // caches all updates that it has ever encoded
	bugReportEarly    bug = "early"     // reports versions as in force before its followers have them
	bugOmitFollower   bug = "uncounted" // omits a follower from its reports
	bugCrash          bug = "crash"     // exits by itself
)

// Parameters of the stand-ins.
const (
	naiveHold            = 300 * time.Millisecond
	naiveRetryDelay      = 20 * time.Millisecond // delay before a repeated read or check
	naiveUrgentDelay     = 2 * time.Second
	naiveCrashDelay      = 1500 * time.Millisecond
	naiveDroppedResource = "service-1"
	naiveSessionID       = "naive"
)

var _ worker.Follower = (*naiveFollower)(nil)
