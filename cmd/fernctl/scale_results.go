package main

import (
	"path/filepath"

	"fernlanding/internal/scale/latency"
	"fernlanding/internal/scale/predict"
)

// readLatency returns the cases in a result file of a latency run. name is the name of the file.
func readLatency(name string, data []byte) ([]predict.Latency, error) {
	r, err := latency.ReadResult(name, data)
	if err != nil {
		return nil, err
	}
	var all []predict.Latency
	for _, c := range r.Cases {
		all = append(all, predict.Latency{
			File:                filepath.Base(name),
			Case:                c.Name,
			RatePerSecond:       c.RatePerSecond,
			Hops:                c.Hops,
			AddedP99:            predict.Spread(c.AddedP99),
			DirectDifferenceP99: predict.Spread(c.DirectDifferenceP99),
			Noise:               c.Noise(),
			CPUPerCallMicros:    c.SidecarCPUPerCallUS,
			DirectP99:           c.All.Direct.P99,
			ThroughP99:          c.All.Through.P99,
		})
	}
	return all, nil
}
