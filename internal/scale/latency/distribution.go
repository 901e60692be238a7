package latency

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	shortest    = int64(time.Nanosecond)
	longest     = int64(time.Minute)
	digits      = 3    // significant decimal digits of each recorded value
	coupledAt   = 1000 // quantiles at which two distributions are held against each other
	millisecond = float64(time.Millisecond)
)

// newHistogram returns an empty histogram of nanoseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, digits) }

// record enters a time; what is out of the histogram's range counts as its nearest end.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(int64(took), shortest), longest)) // fails beyond the range alone
}

// Quantiles are those of a distribution of times, in milliseconds.
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
// to the slowest) and returns the 99th percentile of the pairs' differences, in milliseconds. Where
// the difference grows with the rank, it is the difference of the two 99th percentiles; where the
// slowest calls differ by less than others, it is more than that.
func coupledP99(direct, through *hdrhistogram.Histogram) float64 {
	ranks := make([]float64, coupledAt)
	for i := range ranks {
		ranks[i] = (float64(i) + 0.5) / coupledAt * 100
	}
	a, b := direct.ValueAtPercentilesSlice(ranks), through.ValueAtPercentilesSlice(ranks)
	differences := make([]int64, coupledAt)
	for i := range differences {
		differences[i] = b[i] - a[i]
	}
	slices.Sort(differences)
	return inMilliseconds(differences[coupledAt*99/100-1])
}

// Spread is the median of some rounds' figures, and how far they lie apart.
type Spread struct {
	Median  float64 `json:"median"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
}

// spreadOf returns the spread of figures, of which there is at least one.
func spreadOf(figures []float64) Spread {
	sorted := slices.Sorted(slices.Values(figures))
	n := len(sorted)
	return Spread{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Lowest: sorted[0], Highest: sorted[n-1]}
}
