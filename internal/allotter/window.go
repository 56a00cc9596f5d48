package allotter

import "time"

const (
	// slots is the number of parts of a window that are kept apart. What was used in a part counts until the whole part is
	// older than the window.
	slots = 64
	// historyParts is the number of parts in which a window is told to a host that has just started.
	historyParts = 16
)

// window adds up the use of the last length.
type window struct {
	length time.Duration
	epoch  time.Time // where parts are counted from; clock steps do not move it
	slot   int64     // the newest part
	parts  [slots + 1]float64
	sum    float64
}

func (w *window) slotAt(now time.Time) int64 {
	past, part := now.Sub(w.epoch), w.length/slots
	if past < 0 {
		past -= part - 1
	}
	return int64(past / part)
}

func (w *window) part(slot int64) *float64 {
	n := int64(slots + 1)
	return &w.parts[((slot%n)+n)%n]
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
		oldest := w.part(w.slot)
		w.sum -= *oldest
		*oldest = 0
	}
}

// add counts use at this moment; it may be negative.
func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	*w.part(w.slot) += units
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

// takeShare adds a share of what another window of the same length and epoch holds beyond this one.
func (w *window) takeShare(from *window, share float64) {
	w.sum = 0
	for i := range w.parts {
		w.parts[i] += share * max(0, from.parts[i]-w.parts[i])
		w.sum += w.parts[i]
	}
}

// clear empties the window.
func (w *window) clear() { w.parts, w.sum = [slots + 1]float64{}, 0 }

// recent returns the use of the newest parts that make up a span.
func (w *window) recent(span time.Duration) float64 {
	sum := 0.0
	for i := range min(int64(span*slots/w.length)+1, slots) {
		sum += *w.part(w.slot - i)
	}
	return sum
}

// until returns the time until enough has left the window that its sum is below a limit.
func (w *window) until(limit float64) time.Duration {
	part, sum := w.length/slots, w.sum
	for i := int64(1); i <= slots+1; i++ {
		if sum < limit {
			return time.Duration(i-1) * part
		}
		sum -= *w.part(w.slot + i)
	}
	return w.length
}

// history returns the use of the window in equal parts, the newest first.
func (w *window) history(now time.Time) []float64 {
	w.advance(now)
	out := make([]float64, historyParts)
	for i := range int64(slots) {
		out[i*historyParts/slots] += *w.part(w.slot - i)
	}
	return out
}

// learn takes the use of the window as another host knows it. What lies before known was only assumed here and is replaced;
// of what both know, the larger value counts.
func (w *window) learn(now, known time.Time, history []float64) {
	w.advance(now)
	first := w.slotAt(known)
	for at := int64(0); at < int64(len(history)); at++ {
		// The units of one told part go to its newest slot, so that they never leave the window too soon.
		from, to := w.slot-at*slots/historyParts, w.slot-(at+1)*slots/historyParts
		own := 0.0
		for slot := from; slot > to; slot-- {
			if slot < first {
				*w.part(slot) = 0
			}
			own += *w.part(slot)
		}
		*w.part(from) += max(0, history[at]-own)
	}
	w.sum = 0
	for _, units := range w.parts {
		w.sum += units
	}
}
