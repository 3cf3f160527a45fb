package allotment

import "time"

// windowSlots is the number of slots of a Window. More slots make the count more precise.
const windowSlots = 20

// Window counts the events in a sliding window over the latest span of time, with an excess of at most a twentieth of
// the span. A Window is immutable. The zero value is empty and has no span: its events never expire.
type Window struct {
	span time.Duration
	// counts is a ring of the newest slots, and latest the number of the current one.
	counts [windowSlots + 1]int64
	latest int64
}

// NewWindow returns an empty window over the span.
func NewWindow(span time.Duration) Window { return Window{span: span} }

// At returns the window at now, without the events before the span.
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

// Count returns the number of events in the window at the time of the last update.
func (w Window) Count() int64 {
	sum := int64(0)
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
