package ratelimiter

import "time"

const (
	// bucketCount is the number of buckets in a window. Usage counts until its whole bucket is older than the window.
	bucketCount = 64
	// historyBuckets is the number of intervals in which a window is sent to a newly started host.
	historyBuckets = 16
)

// window sums the usage of the most recent period, in buckets of equal width.
type window struct {
	length  time.Duration
	epoch   time.Time // start of bucket 0; not affected by clock steps
	newest  int64     // number of the newest bucket
	buckets [bucketCount + 1]float64
	sum     float64
}

// bucketAt returns the number of the bucket that a time falls into.
func (w *window) bucketAt(now time.Time) int64 {
	elapsed, width := now.Sub(w.epoch), w.length/bucketCount
	if elapsed < 0 {
		elapsed -= width - 1
	}
	return int64(elapsed / width)
}

// bucket returns the usage in the bucket of a number.
func (w *window) bucket(number int64) *float64 {
	n := int64(bucketCount + 1)
	return &w.buckets[((number%n)+n)%n]
}

// advance drops the buckets that are older than the window.
func (w *window) advance(now time.Time) {
	at := w.bucketAt(now)
	if at-w.newest > bucketCount {
		w.buckets, w.sum, w.newest = [bucketCount + 1]float64{}, 0, at
		return
	}
	for w.newest < at {
		w.newest++
		oldest := w.bucket(w.newest)
		w.sum -= *oldest
		*oldest = 0
	}
}

// add counts units at time now. units may be negative.
func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	*w.bucket(w.newest) += units
	w.sum += units
}

// fill sets the window to a constant usage of perSecond units per second.
func (w *window) fill(now time.Time, perSecond float64) {
	w.newest = w.bucketAt(now)
	w.sum = 0
	for i := range w.buckets {
		w.buckets[i] = perSecond * w.length.Seconds() / bucketCount
		w.sum += w.buckets[i]
	}
}

// addShare adds, in each bucket, a share of the usage by which other exceeds w. Both have the same length and epoch.
func (w *window) addShare(other *window, share float64) {
	w.sum = 0
	for i := range w.buckets {
		w.buckets[i] += share * max(0, other.buckets[i]-w.buckets[i])
		w.sum += w.buckets[i]
	}
}

// clear sets all usage to zero.
func (w *window) clear() { w.buckets, w.sum = [bucketCount + 1]float64{}, 0 }

// recent returns the usage in the newest buckets that cover a time span.
func (w *window) recent(span time.Duration) float64 {
	sum := 0.0
	for i := range min(int64(span*bucketCount/w.length)+1, bucketCount) {
		sum += *w.bucket(w.newest - i)
	}
	return sum
}

// timeUntilBelow returns the time until the sum falls below limit as buckets expire.
func (w *window) timeUntilBelow(limit float64) time.Duration {
	width, sum := w.length/bucketCount, w.sum
	for i := int64(1); i <= bucketCount+1; i++ {
		if sum < limit {
			return time.Duration(i-1) * width
		}
		sum -= *w.bucket(w.newest + i)
	}
	return w.length
}

// history returns the usage as historyBuckets equal intervals, the newest first.
func (w *window) history(now time.Time) []float64 {
	w.advance(now)
	out := make([]float64, historyBuckets)
	for i := range int64(bucketCount) {
		out[i*historyBuckets/bucketCount] += *w.bucket(w.newest - i)
	}
	return out
}

// mergeHistory merges the window of another host, as returned by history. Usage before knownSince was only assumed here and is
// replaced; in the other intervals the larger value is kept.
func (w *window) mergeHistory(now, knownSince time.Time, history []float64) {
	w.advance(now)
	first := w.bucketAt(knownSince)
	for i := int64(0); i < int64(len(history)); i++ {
		// The units of an interval are added to its newest bucket, so that they never expire too early.
		from, to := w.newest-i*bucketCount/historyBuckets, w.newest-(i+1)*bucketCount/historyBuckets
		local := 0.0
		for number := from; number > to; number-- {
			if number < first {
				*w.bucket(number) = 0
			}
			local += *w.bucket(number)
		}
		*w.bucket(from) += max(0, history[i]-local)
	}
	w.sum = 0
	for _, units := range w.buckets {
		w.sum += units
	}
}
