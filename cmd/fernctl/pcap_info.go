package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/flow"

	"github.com/urfave/cli/v3"
)

// infoReport is what pcap info -json prints.
type infoReport struct {
	File        string                   `json:"file"`
	Requests    int64                    `json:"requests"`
	Responses   int64                    `json:"answers"`
	Paired      int64                    `json:"paired"`
	Flows       map[flow.EndReason]int64 `json:"flows_by_end"`
	Faults      map[string]int64         `json:"faults"`
	FirstFaults []faultLine              `json:"first_faults"`
	Summary     *pcap.Summary            `json:"summary"`
}

// pcapInfo prints what a capture holds.
func pcapInfo(ctx context.Context, c *cli.Command) error {
	collected, maxFaults := newCollector(), c.Int("faults")
	var firstFaults []faultLine
	collected.onFault = func(fault faultLine) {
		if len(firstFaults) < maxFaults {
			firstFaults = append(firstFaults, fault)
		}
	}
	summary, err := readCapture(ctx, c, collected)
	if err != nil {
		return err
	}
	report := infoReport{
		File:        c.Args().First(),
		Requests:    collected.requests,
		Responses:   collected.responses,
		Paired:      collected.paired,
		Flows:       collected.flowEnds,
		Faults:      collected.faultCounts,
		FirstFaults: firstFaults,
		Summary:     summary,
	}
	if c.Bool("json") {
		if err := writeJSON(c.Root().Writer, report); err != nil {
			return err
		}
	} else {
		report.print(c.Root().Writer)
	}
	return collected.exitError()
}

// print prints the report as text.
func (r *infoReport) print(out io.Writer) {
	var text strings.Builder
	s, payload, stream := r.Summary, r.Summary.Payload, r.Summary.Stream
	fmt.Fprintf(&text, "%s: %s, %d packets, %s from %s\n",
		r.File, s.Format, s.Packets, s.Last.Sub(s.First).Round(time.Millisecond), s.First.UTC().Format(time.RFC3339))
	fmt.Fprintf(&text,
		"packets   %d TCP, %d fragments waited, %d others, %d of no sense; time went back %d times\n",
		s.Segments, s.Fragments, s.OtherPackets, s.Malformed, s.TimeReversals)
	fmt.Fprintf(&text,
		"payload   %d bytes: %d in order, %d repeated, %d differing, %d not compared, %d behind gaps, %d outside\n",
		payload.Payload, payload.Delivered, payload.Repeated, payload.Conflicts, payload.Unverified,
		payload.Untrusted, payload.Outside)
	fmt.Fprintf(&text, "streams   %d bytes: %d of requests, %d of answers, %d of faults\n",
		stream.Bytes, stream.Request, stream.Response, stream.Faulty)
	fmt.Fprintf(&text, "messages  %d requests, %d answers, %d pairs\n", r.Requests, r.Responses, r.Paired)
	for _, reason := range slices.Sorted(maps.Keys(r.Flows)) {
		fmt.Fprintf(&text, "flows     %d %s\n", r.Flows[reason], reason)
	}
	total := int64(0)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, "faults    %d %s\n", r.Faults[kind], kind)
		total += r.Faults[kind]
	}
	for _, fault := range r.FirstFaults {
		fmt.Fprintln(&text, fault)
	}
	if more := total - int64(len(r.FirstFaults)); more > 0 {
		fmt.Fprintf(&text, "and %d more\n", more)
	}
	writeReport(out, text.String())
}
