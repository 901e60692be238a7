package latency

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minTime           = int64(time.Nanosecond)
	maxTime           = int64(time.Minute)
	significantDigits = 3    // decimal digits of each recorded value
	coupledQuantiles  = 1000 // number of quantiles at which coupledP99 compares two distributions
	millisecond       = float64(time.Millisecond)
)

// newHistogram returns an empty histogram of nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minTime, maxTime, significantDigits)
}

// record adds a time to a histogram. A time out of range is recorded as the nearest limit.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(int64(took), minTime), maxTime)) // fails only out of range
}

// Quantiles holds quantiles of a distribution of times, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// quantilesOf returns the quantiles of a histogram.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	v := h.ValueAtPercentilesSlice([]float64{50, 90, 99, 99.9})
	return Quantiles{
		P50:  inMilliseconds(v[0]),
		P90:  inMilliseconds(v[1]),
		P99:  inMilliseconds(v[2]),
		P999: inMilliseconds(v[3]),
	}
}

func inMilliseconds(ns int64) float64 { return float64(ns) / millisecond }

// coupledP99 pairs the calls of two distributions by rank (the fastest with the fastest, and so on
// to the slowest) and returns the 99th percentile of the differences of the pairs, in milliseconds.
// If the difference increases with the rank, the result is the difference of the two 99th
// percentiles. If the slowest calls differ by less than other calls, the result is larger.
func coupledP99(direct, through *hdrhistogram.Histogram) float64 {
	ranks := make([]float64, coupledQuantiles)
	for i := range ranks {
		ranks[i] = (float64(i) + 0.5) / coupledQuantiles * 100
	}
	a, b := direct.ValueAtPercentilesSlice(ranks), through.ValueAtPercentilesSlice(ranks)
	differences := make([]int64, coupledQuantiles)
	for i := range differences {
		differences[i] = b[i] - a[i]
	}
	slices.Sort(differences)
	return inMilliseconds(differences[coupledQuantiles*99/100-1])
}

// Spread is the median and the range of a value over the rounds.
type Spread struct {
	Median  float64 `json:"median"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
}

// spreadOf returns the spread of values. The slice has at least one value.
func spreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return Spread{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Lowest: sorted[0], Highest: sorted[n-1]}
}
