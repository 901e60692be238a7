package plot

import (
	"fmt"

	"fernlanding/internal/fleetsim"
	"fernlanding/logic"
)

const (
	second     = 1_000_000 // microseconds
	maxLearned = 1e4       // a limit above this value has not been learned yet
)

// row holds the data of one second of a replica.
type row struct {
	fleetsim.Sample
	sheds, excessSheds int
	reason             string // most frequent reason for shedding
}

// limit returns the tier's limit, or 0 if the limit has not been learned yet.
func (r *row) limit() float64 {
	if !r.limitLearned() {
		return 0
	}
	return r.Stats.Tier.Limit
}

// limitLearned reports whether the tier's limit has been learned.
func (r *row) limitLearned() bool { return r.Stats.Tier.Limit <= maxLearned }

// replicaRows returns one row for each second of a replica, or an error if the trace has no samples
// of that replica.
func replicaRows(result *fleetsim.Result, tier, replica int) ([]row, error) {
	var rows []row
	for _, s := range result.Trace.Samples {
		if s.Tier == tier && s.Replica == replica && s.At%second == 0 {
			rows = append(rows, row{Sample: s})
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("no copy %d of tier %d in this day", replica, tier)
	}
	reasons := make([]map[string]int, len(rows))
	for _, shed := range result.Trace.Sheds {
		i := int(shed.At / second)
		if shed.Tier != tier || shed.Replica != replica || i >= len(rows) {
			continue
		}
		rows[i].sheds++
		if shed.IsExcess {
			rows[i].excessSheds++
		}
		if reasons[i] == nil {
			reasons[i] = map[string]int{}
		}
		reasons[i][Reason(result.Day, shed)]++
	}
	for i, counts := range reasons {
		rows[i].reason = mostFrequent(counts)
	}
	return rows, nil
}

// mostFrequent returns the key with the highest count. Among equal counts it returns the first key
// in lexical order. It returns an empty string if counts is empty.
func mostFrequent(counts map[string]int) string {
	best := ""
	for key, n := range counts {
		if highest := counts[best]; n > highest || n == highest && key < best {
			best = key
		}
	}
	return best
}

// Reason names the rule that shed a request and the last cut of the rule's limit.
func Reason(d *fleetsim.Day, shed fleetsim.Shed) string {
	reason := shed.Cause.String()
	if shed.Cause == logic.ByTenantQuota && shed.Tenant >= 0 {
		return fmt.Sprintf("%s of %s, at %.2f of its share", reason, d.Tenants[shed.Tenant].Name, shed.Limit.Limit)
	}
	if shed.Cause == logic.ByClassLimit {
		reason += " of " + d.Classes[shed.Class].Name
	}
	cut := shed.Limit.LastCut
	if cut.Evidence != logic.NoEvidence {
		reason += fmt.Sprintf(", cut at %.1fs by %v, %d of %d, %.1f to %.1f",
			float64(cut.At)/second, cut.Evidence, cut.Bad, cut.Total, cut.From, cut.To)
	}
	return reason
}
