package logic

const (
	slidingWindowBuckets = 64
	slidingWindowBucket  = second / 8
	slidingWindowSpan    = slidingWindowBuckets * slidingWindowBucket
)

// slidingWindow sums weights over a sliding window of up to slidingWindowSpan.
type slidingWindow struct {
	buckets [slidingWindowBuckets]float32
	last    int64 // number of the latest bucket, counted from time 0 of the clock
}

// add records a weight at the given time.
func (w *slidingWindow) add(now int64, weight float64) {
	w.advance(now)
	w.buckets[w.last%slidingWindowBuckets] += float32(weight)
}

// advance clears the buckets between the latest one and now.
func (w *slidingWindow) advance(now int64) {
	current := now / slidingWindowBucket
	for i := max(w.last+1, current-slidingWindowBuckets+1); i <= current; i++ {
		w.buckets[i%slidingWindowBuckets] = 0
	}
	w.last = max(w.last, current)
}

// sum returns the total weight of the last span microseconds, in whole buckets.
func (w *slidingWindow) sum(now, span int64) float64 {
	w.advance(now)
	total := 0.0
	for i := range span / slidingWindowBucket {
		if w.last-i >= 0 {
			total += float64(w.buckets[(w.last-i)%slidingWindowBuckets])
		}
	}
	return total
}
