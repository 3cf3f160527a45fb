package platform

import "time"

// Faults holds the injected faults. It is immutable. The zero value has no faults.
type Faults struct {
	down          bool
	delay         time.Duration
	lostResponses int
	instancesLag  time.Duration
	maxWatches    int
}

// WithDown returns the faults with or without an outage, during which the store refuses every call.
func (f Faults) WithDown(down bool) Faults {
	f.down = down
	return f
}

// WithDelay returns the faults with a delay before each call is processed.
func (f Faults) WithDelay(d time.Duration) Faults {
	f.delay = d
	return f
}

// WithLostResponses returns the faults with the loss of the responses to the next n successful updates.
func (f Faults) WithLostResponses(n int) Faults {
	f.lostResponses = n
	return f
}

// WithInstancesLag returns the faults with the given lag of the list of instances.
func (f Faults) WithInstancesLag(d time.Duration) Faults {
	f.instancesLag = d
	return f
}

// WithMaxWatches returns the faults with a maximum number of pending watches. Below one, the number is unlimited.
func (f Faults) WithMaxWatches(n int) Faults {
	f.maxWatches = n
	return f
}
