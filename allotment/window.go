package allotment

import "time"

// windowSlots is the number of parts in which a Window counts. More of them follow the window more closely.
const windowSlots = 20

// Window counts what happened in the latest span of time, and up to a twentieth of the span more. A Window is never
// changed in place. The zero value is empty and needs no span.
type Window struct {
	span time.Duration
	// counts holds the newest parts; the last one that is used is that of the part number latest.
	counts [windowSlots + 1]int64
	latest int64
}

// NewWindow returns an empty window over the span.
func NewWindow(span time.Duration) Window { return Window{span: span} }

// At returns the window at now, without what happened before the span.
func (w Window) At(now time.Duration) Window {
	if w.span <= 0 {
		return w
	}
	slot := int64(now / (w.span / windowSlots))
	for steps := min(slot-w.latest, windowSlots+1); steps > 0; steps-- {
		w.counts[int(slot-steps+1)%len(w.counts)] = 0
	}
	w.latest = max(w.latest, slot)
	return w
}

// With returns the window after n more events at now.
func (w Window) With(now time.Duration, n int64) Window {
	w = w.At(now)
	w.counts[int(w.latest)%len(w.counts)] += n
	return w
}

// Count returns the number of events in the window at its latest instant.
func (w Window) Count() int64 {
	sum := int64(0)
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
