package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fernlanding/internal/pcap/replay"
)

const maxErrorLines = 20 // distinct errors that the text report lists

// classComparison compares the captured and the replayed outcomes of a class.
type classComparison struct {
	Class            string         `json:"class"`
	Requests         int            `json:"requests"`
	Skipped          int            `json:"left_out"`
	Sent             int            `json:"sent"`
	NoResponse       int            `json:"no_answer"`
	CapturedStatuses map[string]int `json:"captured_status"`
	ReplayedStatuses map[string]int `json:"replayed_status"`
	SameStatus       int            `json:"same_status"`
	SameBody         int            `json:"same_body"`
	CapturedLatency  [2]float64     `json:"captured_ms_p50_p99"` // milliseconds
	ReplayedLatency  [2]float64     `json:"replayed_ms_p50_p99"` // milliseconds
	DelayP99         float64        `json:"late_ms_p99"`         // milliseconds after the planned time

	capturedLatencies, replayedLatencies, delays []time.Duration
}

// replayReport is what pcap replay -json prints.
type replayReport struct {
	Classes     []*classComparison `json:"classes"`
	SkipReasons map[string]int     `json:"left_out_why"`
	Errors      map[string]int     `json:"errors"`
}

// statusText returns a status code as text, or "none" for 0.
func statusText(code int) string {
	if code == 0 {
		return "none"
	}
	return strconv.Itoa(code)
}

// className returns the class of a step, or the method and idempotency if the step names no class.
func className(step *replay.Step) string {
	if step.Class == "" {
		return step.Method + " (" + step.Idempotency.String() + ")"
	}
	return step.Class
}

// compareOutcomes compares the outcomes of a replay with the captured ones, by class.
func compareOutcomes(plan *replay.Plan, results []*replay.Result) *replayReport {
	report := &replayReport{SkipReasons: map[string]int{}, Errors: map[string]int{}}
	classes := map[string]*classComparison{}
	for _, step := range plan.Steps {
		name := className(step)
		if classes[name] == nil {
			classes[name] = &classComparison{
				Class: name, CapturedStatuses: map[string]int{}, ReplayedStatuses: map[string]int{},
			}
		}
		classes[name].addStep(step)
		if step.SkipReason != "" {
			report.SkipReasons[step.SkipReason]++
		}
	}
	for _, result := range results { // each result belongs to a step of the plan
		classes[className(result.Step)].addResult(result)
		if result.Err != nil {
			report.Errors[result.Err.Error()]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		classes[name].setPercentiles()
		report.Classes = append(report.Classes, classes[name])
	}
	return report
}

// addStep adds a step and its captured outcome.
func (c *classComparison) addStep(step *replay.Step) {
	c.Requests++
	c.CapturedStatuses[statusText(step.Captured.StatusCode)]++
	if step.Captured.StatusCode > 0 {
		c.capturedLatencies = append(c.capturedLatencies, step.Captured.Latency)
	}
	if step.SkipReason != "" {
		c.Skipped++
	}
}

// addResult adds the replayed outcome of a step.
func (c *classComparison) addResult(result *replay.Result) {
	if result.Sent {
		c.Sent++
	}
	c.delays = append(c.delays, result.Delay)
	c.ReplayedStatuses[statusText(result.Replayed.StatusCode)]++
	if result.Err != nil {
		c.NoResponse++
		return
	}
	c.replayedLatencies = append(c.replayedLatencies, result.Replayed.Latency)
	if result.Replayed.StatusCode == result.Step.Captured.StatusCode {
		c.SameStatus++
	}
	if result.BodyEqual {
		c.SameBody++
	}
}

// setPercentiles sets the percentiles once all outcomes are added.
func (c *classComparison) setPercentiles() {
	c.CapturedLatency = [2]float64{percentileMillis(c.capturedLatencies, 50), percentileMillis(c.capturedLatencies, 99)}
	c.ReplayedLatency = [2]float64{percentileMillis(c.replayedLatencies, 50), percentileMillis(c.replayedLatencies, 99)}
	c.DelayP99 = percentileMillis(c.delays, 99)
}

// percentileMillis sorts the durations and returns a percentile in milliseconds. The percentile of
// no durations is 0.
func percentileMillis(durations []time.Duration, percent int) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[min(len(durations)-1, len(durations)*percent/100)].Microseconds()) / 1000
}

// allEqual reports whether every request that was not skipped had the captured status and body.
func (r *replayReport) allEqual() bool {
	return !slices.ContainsFunc(r.Classes, func(c *classComparison) bool {
		return c.SameStatus != c.Requests-c.Skipped || c.SameBody != c.Requests-c.Skipped
	})
}

// print prints the report as text. print returns the error of writing to out.
func (r *replayReport) print(out io.Writer) error {
	var text strings.Builder
	text.WriteString("class\trequests\tleft out\tsent\tno answer\tsame status\tsame body\tcaptured\treplayed" +
		"\tcaptured ms p50 p99\treplayed ms p50 p99\tlate ms p99\n")
	for _, c := range r.Classes {
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.1f %.1f\t%.1f %.1f\t%.1f\n",
			c.Class, c.Requests, c.Skipped, c.Sent, c.NoResponse, c.SameStatus, c.SameBody,
			formatCounts(c.CapturedStatuses), formatCounts(c.ReplayedStatuses),
			c.CapturedLatency[0], c.CapturedLatency[1], c.ReplayedLatency[0], c.ReplayedLatency[1], c.DelayP99)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.SkipReasons)) {
		fmt.Fprintf(&text, "left out: %d: %s\n", r.SkipReasons[reason], reason)
	}
	for i, reason := range slices.Sorted(maps.Keys(r.Errors)) {
		if i == maxErrorLines {
			fmt.Fprintf(&text, "and %d more\n", len(r.Errors)-maxErrorLines)
			break
		}
		fmt.Fprintf(&text, "no answer: %d: %s\n", r.Errors[reason], reason)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

// formatCounts returns counts as KEY:COUNT words, sorted by key.
func formatCounts(counts map[string]int) string {
	var words []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s:%d", key, counts[key]))
	}
	return strings.Join(words, " ")
}
