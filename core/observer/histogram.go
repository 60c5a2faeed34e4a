package observer

import (
	"math"
	"time"
)

const (
	// firstBucketEnd is the upper end of the first bucket of a Histogram. Each further bucket ends at the square root of
	// two times the end of the one before it.
	firstBucketEnd = 500 * time.Microsecond
	maxBuckets     = 32
)

// Histogram counts latencies in buckets that grow by a factor of the square root of two. It has only as many buckets as
// its longest latency needs.
type Histogram []int

// Bucket returns the index of the bucket that latency falls into.
func Bucket(latency time.Duration) int {
	if latency <= firstBucketEnd {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(latency)/float64(firstBucketEnd)))), maxBuckets-1)
}

// WithLatency returns the histogram with one more latency.
func (h Histogram) WithLatency(latency time.Duration) Histogram {
	next := make(Histogram, max(len(h), Bucket(latency)+1))
	copy(next, h)
	next[Bucket(latency)]++
	return next
}

// With returns the sum of both histograms. Buckets beyond maxBuckets are dropped.
func (h Histogram) With(other Histogram) Histogram {
	next := make(Histogram, min(max(len(h), len(other)), maxBuckets))
	copy(next, h)
	for i, count := range other[:min(len(other), maxBuckets)] {
		next[i] += max(count, 0)
	}
	return next
}

// Above returns the number of latencies in the buckets after the one with the index bucket.
func (h Histogram) Above(bucket int) int {
	total := 0
	for _, count := range h[min(bucket+1, len(h)):] {
		total += count
	}
	return total
}
