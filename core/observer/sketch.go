package observer

import (
	"math"
	"time"
)

const (
	// firstBucketEnd is the upper end of the first bucket of a Sketch. Each bucket ends at the square root of two times
	// the end of the one before it.
	firstBucketEnd = 500 * time.Microsecond
	maxBuckets     = 32
)

// Histogram counts latencies in buckets that grow by the square root of two. It has as many buckets as the longest
// latency needs.
type Histogram []int

// Bucket returns the index of the bucket that latency falls into.
func Bucket(latency time.Duration) int {
	if latency <= firstBucketEnd {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(latency)/float64(firstBucketEnd)))), maxBuckets-1)
}

// WithLatency returns the sketch after one more latency.
func (s Histogram) WithLatency(latency time.Duration) Histogram {
	next := make(Histogram, max(len(s), Bucket(latency)+1))
	copy(next, s)
	next[Bucket(latency)]++
	return next
}

// With returns the sum of both sketches. Buckets past the last one are dropped.
func (s Histogram) With(other Histogram) Histogram {
	next := make(Histogram, min(max(len(s), len(other)), maxBuckets))
	copy(next, s)
	for i, count := range other[:min(len(other), maxBuckets)] {
		next[i] += max(count, 0)
	}
	return next
}

// Above returns the number of latencies in buckets after bucket.
func (s Histogram) Above(bucket int) int {
	total := 0
	for _, count := range s[min(bucket+1, len(s)):] {
		total += count
	}
	return total
}
