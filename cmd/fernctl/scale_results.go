package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"fernlanding/internal/scale/predict"
)

// latencyResult is what a prediction takes from the result of a latency run.
type latencyResult struct {
	Format int `json:"format"`
	Cases  []struct {
		Name       string        `json:"name"`
		Rate       float64       `json:"rate_per_second"`
		Hops       int           `json:"hops"`
		CPUPerCall float64       `json:"sidecar_cpu_per_call_us"`
		AddedP99   latencySpread `json:"added_p99_ms"`
		SameP99    latencySpread `json:"same_p99_ms"`
		All        struct {
			Direct  latencyQuantiles `json:"direct"`
			Through latencyQuantiles `json:"through"`
		} `json:"all"`
	} `json:"cases"`
}

type latencySpread struct {
	Median  float64 `json:"median"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
}

type latencyQuantiles struct {
	P99 float64 `json:"p99_ms"`
}

const latencyFormat = 1

// readLatency reads the cases of a latency run's result.
func readLatency(name string, data []byte) (all []predict.Latency, err error) {
	var r latencyResult
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.Format != latencyFormat {
		return nil, fmt.Errorf("%s: format: %d found, %d expected", name, r.Format, latencyFormat)
	}
	for _, x := range r.Cases {
		all = append(all, predict.Latency{File: filepath.Base(name), Case: x.Name, RatePerSecond: x.Rate, Hops: x.Hops, CPUPerCallMicros: x.CPUPerCall,
			AddedP99: predict.Spread(x.AddedP99), SameP99: predict.Spread(x.SameP99), DirectP99: x.All.Direct.P99, Through: x.All.Through.P99})
	}
	return all, nil
}
