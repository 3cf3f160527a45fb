package instance

import (
	"maps"
	"time"
)

// failures records the time of the last failure by name. It is immutable; the zero value is empty.
type failures struct {
	at map[string]time.Duration
}

// with returns the failures with one at now added, without those older than maxAge.
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

// without returns the failures without that of the name, which has succeeded.
func (f failures) without(name string) failures {
	if _, found := f.at[name]; !found {
		return f
	}
	at := maps.Clone(f.at)
	delete(at, name)
	return failures{at: at}
}

// isRecent reports whether the name failed less than interval ago.
func (f failures) isRecent(name string, now, interval time.Duration) bool {
	failed, found := f.at[name]
	return found && now-failed < interval
}
