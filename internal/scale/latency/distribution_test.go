package latency

import (
	"math"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramOf holds what f gives for 1 to n.
func histogramOf(n int, f func(i int) time.Duration) *hdrhistogram.Histogram {
	h := newHistogram()
	for i := 1; i <= n; i++ {
		record(h, f(i))
	}
	return h
}

// close tells whether a figure is what it should be, as exactly as a histogram holds it.
func closeTo(got, want float64) bool { return math.Abs(got-want) <= 2e-3*math.Abs(want)+1e-6 }

func TestQuantiles(t *testing.T) {
	got := quantilesOf(histogramOf(10_000, func(i int) time.Duration { return time.Duration(i) * time.Microsecond }))
	for _, x := range []struct{ got, want float64 }{{got.P50, 5}, {got.P90, 9}, {got.P99, 9.9}, {got.P999, 9.99}} {
		if !closeTo(x.got, x.want) {
			t.Errorf("a quantile of %g ms, want %g ms", x.got, x.want)
		}
	}
}

// What is out of range counts as the nearest end: no time is lost.
func TestRecordOutOfRange(t *testing.T) {
	h := newHistogram()
	record(h, -time.Second)
	record(h, time.Hour)
	if h.TotalCount() != 2 || h.Min() > shortest || h.Max() < longest*99/100 {
		t.Errorf("%d times between %d and %d", h.TotalCount(), h.Min(), h.Max())
	}
}

func TestCoupledP99(t *testing.T) {
	const n = 10_000
	direct := func(i int) time.Duration { return 100*time.Microsecond + time.Duration(i)*10*time.Nanosecond }
	for _, x := range []struct {
		name    string
		through func(i int) time.Duration
		want    float64 // ms
	}{
		{"the same", direct, 0},
		{"a constant more", func(i int) time.Duration { return direct(i) + 200*time.Microsecond }, 0.2},
		{"more with the rank", func(i int) time.Duration {
			return direct(i) + time.Duration(i)*50*time.Nanosecond
		}, 0.495},
		// Three in a hundred calls take a millisecond more, and they are the slowest ones.
		{"a tail", func(i int) time.Duration {
			if i > n*97/100 {
				return direct(i) + time.Millisecond
			}
			return direct(i)
		}, 1},
		{"half as much", func(i int) time.Duration { return direct(i) / 2 }, -0.051},
	} {
		got := coupledP99(histogramOf(n, direct), histogramOf(n, x.through))
		if !closeTo(got, x.want) && math.Abs(got-x.want) > 1e-3 {
			t.Errorf("%s: %g ms, want %g ms", x.name, got, x.want)
		}
	}
}

// Pairs by rank know nothing of the order in which calls came.
func TestCoupledP99OfAnyOrder(t *testing.T) {
	up := histogramOf(1000, func(i int) time.Duration { return time.Duration(i) * time.Microsecond })
	down := histogramOf(1000, func(i int) time.Duration { return time.Duration(1001-i) * time.Microsecond })
	if got := coupledP99(up, down); got != 0 {
		t.Errorf("%g ms between two orders of the same times", got)
	}
}

func TestSpread(t *testing.T) {
	for _, x := range []struct {
		figures []float64
		want    Spread
	}{
		{[]float64{3}, Spread{3, 3, 3}},
		{[]float64{4, 1, 3}, Spread{3, 1, 4}},
		{[]float64{4, -1, 3, 1}, Spread{2, -1, 4}},
	} {
		if got := spreadOf(x.figures); got != x.want {
			t.Errorf("%v: %+v, want %+v", x.figures, got, x.want)
		}
	}
}
