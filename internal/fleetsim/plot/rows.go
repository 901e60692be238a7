package plot

import (
	"fmt"

	"fernlanding/internal/fleetsim"
	"fernlanding/logic"
)

const (
	second     = 1_000_000 // microseconds
	maxLearned = 1e4       // a higher limit has not been learned yet
)

// row is one second of a replica.
type row struct {
	fleetsim.Sample
	sheds, excess int
	reason        string // of most sheds
}

// limit returns the tier's limit as far as it has been learned.
func (r *row) limit() float64 {
	if !r.limitLearned() {
		return 0
	}
	return r.Stats.Tier.Limit
}

// limitLearned reports whether the tier's limit has been learned.
func (r *row) limitLearned() bool { return r.Stats.Tier.Limit <= maxLearned }

// rowsOf returns the seconds of a replica, or an error if the day has no such replica.
func rowsOf(result *fleetsim.Result, tier, replica int) ([]row, error) {
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
			rows[i].excess++
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

// mostFrequent returns the key with the highest count, the least one of several; empty if there is
// none.
func mostFrequent(counts map[string]int) string {
	most := ""
	for key, n := range counts {
		if best := counts[most]; n > best || n == best && key < most {
			most = key
		}
	}
	return most
}

// Reason names the rule that shed a request, and what cut its limit last.
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
