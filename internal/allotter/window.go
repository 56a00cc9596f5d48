package allotter

import "time"

// slots is the number of parts of a window that are kept apart. What was used in a part counts until the whole part is older
// than the window.
const slots = 64

// window adds up the use of the last Length.
type window struct {
	length time.Duration
	slot   int64 // the newest part, counted from the zero time
	parts  [slots + 1]float64
	sum    float64
}

func (w *window) slotAt(now time.Time) int64 {
	return now.UnixNano() / (w.length.Nanoseconds() / slots)
}

// advance drops the parts that are older than the window.
func (w *window) advance(now time.Time) {
	at := w.slotAt(now)
	if at-w.slot > slots {
		w.parts, w.sum, w.slot = [slots + 1]float64{}, 0, at
		return
	}
	for w.slot < at {
		w.slot++
		oldest := &w.parts[w.slot%(slots+1)]
		w.sum -= *oldest
		*oldest = 0
	}
}

// add counts use at this moment; it may be negative.
func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	w.parts[w.slot%(slots+1)] += units
	w.sum += units
}

// fill makes the window look as if units a second had been used in all of it.
func (w *window) fill(now time.Time, perSecond float64) {
	w.slot = w.slotAt(now)
	w.sum = 0
	for i := range w.parts {
		w.parts[i] = perSecond * w.length.Seconds() / slots
		w.sum += w.parts[i]
	}
}

// scale changes what was used in the past by a factor.
func (w *window) scale(factor float64) {
	w.sum = 0
	for i := range w.parts {
		w.parts[i] *= factor
		w.sum += w.parts[i]
	}
}

// until returns the time until enough has left the window that its sum is below a limit.
func (w *window) until(limit float64) time.Duration {
	part := w.length / slots
	sum := w.sum
	for i := int64(1); i <= slots+1; i++ {
		if sum < limit {
			return time.Duration(i-1) * part
		}
		sum -= w.parts[(w.slot+i)%(slots+1)]
	}
	return w.length
}
