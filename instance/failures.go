package instance

import (
	"maps"
	"time"
)

// failures holds the instant of the last failure of each name. It is never changed in place; the zero value holds none.
type failures struct {
	at map[string]time.Duration
}

// with returns the failures with another one, without those that are older than keep.
func (f failures) with(name string, now, maxAge time.Duration) failures {
	at := make(map[string]time.Duration, len(f.at)+1)
	for other, failed := range f.at {
		if now-failed < maxAge {
			at[other] = failed
		}
	}
	at[name] = now
	return failures{at: at}
}

// without returns the failures after the name succeeded.
func (f failures) without(name string) failures {
	if _, found := f.at[name]; !found {
		return f
	}
	at := maps.Clone(f.at)
	delete(at, name)
	return failures{at: at}
}

// isRecent reports whether the name failed less than retry ago.
func (f failures) isRecent(name string, now, interval time.Duration) bool {
	failed, found := f.at[name]
	return found && now-failed < interval
}
