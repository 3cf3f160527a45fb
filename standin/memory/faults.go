package memory

import "time"

// Faults describes the injected faults of a store or of one connection to it. The zero value has no faults and no
// latency. It is immutable; each With method returns a modified copy.
type Faults struct {
	requestLatency, responseLatency time.Duration
	down                            bool
	unresponsive                    bool
	updateDelay                     time.Duration
	responseLoss                    ResponseLoss
}

// ResponseLoss selects the updates whose responses are lost after the update was processed.
type ResponseLoss interface{ responseLoss() }

// AllResponses loses the response to every update, including updates that were rejected because of a version mismatch.
type AllResponses struct{}

// AlternateResponses loses the response to every other update of the connection that takes effect, starting with the
// first update since the connection was created.
type AlternateResponses struct{}

func (AllResponses) responseLoss()       {}
func (AlternateResponses) responseLoss() {}

// WithLatency returns f with the latency of requests and responses.
func (f Faults) WithLatency(request, response time.Duration) Faults {
	f.requestLatency, f.responseLatency = request, response
	return f
}

// WithDown returns f with or without an outage, during which requests and responses fail after their latency.
func (f Faults) WithDown(isDown bool) Faults {
	f.down = isDown
	return f
}

// WithUnresponsive returns f with or without an outage during which every call blocks until its context is done.
func (f Faults) WithUnresponsive(isUnresponsive bool) Faults {
	f.unresponsive = isUnresponsive
	return f
}

// WithDelayedUpdates returns f with updates that take effect after a delay. Their caller gets an error at once. A delay
// of zero turns this off.
func (f Faults) WithDelayedUpdates(delay time.Duration) Faults {
	f.updateDelay = delay
	return f
}

// WithLostResponses returns f with lost responses to updates. If loss is nil, no response is lost.
func (f Faults) WithLostResponses(loss ResponseLoss) Faults {
	f.responseLoss = loss
	return f
}

// LosesResponses reports whether responses to updates are lost.
func (f Faults) LosesResponses() bool { return f.responseLoss != nil }

// combine returns the faults of a connection together with those of its store. Only the connection's own faults lose or
// delay updates.
func (f Faults) combine(store Faults) Faults {
	f.requestLatency += store.requestLatency
	f.responseLatency += store.responseLatency
	f.down = f.down || store.down
	f.unresponsive = f.unresponsive || store.unresponsive
	return f
}

// losesResponse reports whether the response to an update is lost. applied is the number of updates of the connection
// that have taken effect, and err is the result of this update.
func (f Faults) losesResponse(applied int, err error) bool {
	switch f.responseLoss.(type) {
	case AllResponses:
		return true
	case AlternateResponses:
		return err == nil && applied%2 == 1
	}
	return false
}
