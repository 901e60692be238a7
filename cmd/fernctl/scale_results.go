package main

import (
	"fernlanding/internal/scale/latency"
	"fernlanding/internal/scale/predict"
	"path/filepath"
)

// readLatency reads the cases of a latency run's result.
func readLatency(name string, data []byte) (all []predict.Latency, err error) {
	r, err := latency.ReadResult(name, data)
	if err != nil {
		return nil, err
	}
	for _, x := range r.Cases {
		all = append(all, predict.Latency{
			File: filepath.Base(name), Case: x.Name, RatePerSecond: x.RatePerSecond, Hops: x.Hops, CPUPerCallMicros: x.SidecarCPUPerCallUS,
			AddedP99: predict.Spread(x.AddedP99), SameP99: predict.Spread(x.SameP99), Noise: x.Noise(), DirectP99: x.All.Direct.P99, Through: x.All.Through.P99,
		})
	}
	return all, nil
}
