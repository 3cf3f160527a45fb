package platform

import "time"

// Faults are the commanded faults in force. Faults are never changed in place. The zero value has none.
type Faults struct {
	down         bool
	slow         time.Duration
	lostAnswers  int
	instancesLag time.Duration
	maxWatches   int
}

// WithDown returns the faults with a store that refuses every call, or no longer does.
func (f Faults) WithDown(down bool) Faults {
	f.down = down
	return f
}

// WithSlow returns the faults with a delay before each call.
func (f Faults) WithSlow(d time.Duration) Faults {
	f.slow = d
	return f
}

// WithLostAnswers returns the faults with a store that loses the answers of the next n updates after they took effect.
func (f Faults) WithLostAnswers(n int) Faults {
	f.lostAnswers = n
	return f
}

// WithInstancesLag returns the faults with another lag of the list of instances.
func (f Faults) WithInstancesLag(d time.Duration) Faults {
	f.instancesLag = d
	return f
}

// WithMaxWatches returns the faults with a bound on waiting watches. A bound below one means none.
func (f Faults) WithMaxWatches(n int) Faults {
	f.maxWatches = n
	return f
}
