package memory

import "time"

// Faults says what is wrong with a store or with one line to it. The zero value has no faults and no latency. It is
// immutable; each With method returns a changed copy.
type Faults struct {
	there, back time.Duration
	down        bool
	silent      bool
	lateBy      time.Duration
	loss        ResponseLoss
}

// ResponseLoss says which answers to updates are lost after the update was handled.
type ResponseLoss interface{ isLoss() }

// AllResponses loses the answer of each update, also of one that was refused because of its version.
type AllResponses struct{}

// AlternateResponses loses the answer of each second update of the line that takes effect. The updates are counted from
// the line's start, and the answer of the first one is lost.
type AlternateResponses struct{}

func (AllResponses) isLoss()       {}
func (AlternateResponses) isLoss() {}

// WithLatency returns f with the time that a request and its answer travel.
func (f Faults) WithLatency(there, back time.Duration) Faults {
	f.there, f.back = there, back
	return f
}

// WithDown returns f with or without an outage, in which requests and answers fail at the end of their way.
func (f Faults) WithDown(isDown bool) Faults {
	f.down = isDown
	return f
}

// WithUnresponsive returns f with or without an outage in which a call waits until its context ends.
func (f Faults) WithUnresponsive(isSilent bool) Faults {
	f.silent = isSilent
	return f
}

// WithDelayedUpdates returns f with updates that reach the objects after a delay, when their caller has already been told
// that there is no answer. Zero means that there is no delay.
func (f Faults) WithDelayedUpdates(delay time.Duration) Faults {
	f.lateBy = delay
	return f
}

// WithLostResponses returns f with lost answers to updates. Nil means that none is lost.
func (f Faults) WithLostResponses(loss ResponseLoss) Faults {
	f.loss = loss
	return f
}

// LosesResponses reports whether answers to updates are lost.
func (f Faults) LosesResponses() bool { return f.loss != nil }

// and returns the faults of a line to a store that has faults of its own. Only the line loses or delays updates.
func (f Faults) and(store Faults) Faults {
	f.there += store.there
	f.back += store.back
	f.down = f.down || store.down
	f.silent = f.silent || store.silent
	return f
}

// loses reports whether the answer of an update is lost. applied is the number of updates of the line that have taken
// effect, and err the outcome of this one.
func (f Faults) loses(applied int, err error) bool {
	switch f.loss.(type) {
	case AllResponses:
		return true
	case AlternateResponses:
		return err == nil && applied%2 == 1
	}
	return false
}
