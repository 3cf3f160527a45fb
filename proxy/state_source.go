package proxy

import (
	"math"
	"slices"
	"time"
)

const (
	// readDelay is how much older than its read interval a part of the state may be: the time that the read and the way
	// to a relay take.
	readDelay = 700 * time.Millisecond
	// maxDocumentReadAge, maxServersReadAge, maxRecordsReadAge and maxMaintenanceReadAge are the ages up to which the parts
	// of a relay's state are useful. A relay with an older part cannot read it, and another one may.
	maxDocumentReadAge    = documentReadInterval + readDelay
	maxServersReadAge     = serversReadInterval + readDelay
	maxRecordsReadAge     = recordsReadInterval + readDelay
	maxMaintenanceReadAge = maintenanceReadInterval + readDelay
	// maxSourcePath is the maximum length of a path of instances. The usual path has two: the head and the relay of the
	// data centre.
	maxSourcePath = 8
	// partNotUsed is the read time of a part that the deployment does not use. Ages can be computed from it without an
	// overflow.
	partNotUsed time.Duration = math.MaxInt64 / 2
)

// ReadTimes holds when each part of the cluster state was last requested from the store. The parts are read separately, so
// none of them shows that another one is recent. Zero means never.
type ReadTimes struct {
	Document    time.Duration
	Servers     time.Duration
	Records     time.Duration
	Maintenance time.Duration
}

// WithDocument returns the times after a read of the document.
func (t ReadTimes) WithDocument(at time.Duration) ReadTimes {
	t.Document = max(t.Document, at)
	return t
}

// WithServers returns the times after a read of the list of servers.
func (t ReadTimes) WithServers(at time.Duration) ReadTimes {
	t.Servers = max(t.Servers, at)
	return t
}

// WithRecords returns the times after a read of the records.
func (t ReadTimes) WithRecords(at time.Duration) ReadTimes {
	t.Records = max(t.Records, at)
	return t
}

// WithMaintenance returns the times after a read of the list of data centres in maintenance.
func (t ReadTimes) WithMaintenance(at time.Duration) ReadTimes {
	t.Maintenance = max(t.Maintenance, at)
	return t
}

// WithStart returns the times for a process that was started at the given time: a part that was never read is not overdue
// before the process could have read it.
func (t ReadTimes) WithStart(at time.Duration) ReadTimes {
	return t.WithDocument(at).WithServers(at).WithRecords(at).WithMaintenance(at)
}

// isComplete reports whether all parts have been read.
func (t ReadTimes) isComplete() bool { return min(t.Document, t.Servers, t.Records, t.Maintenance) > 0 }

// Overdue returns by how much the most outdated part exceeds its maximum age. It is zero or negative if all parts are
// recent.
func (t ReadTimes) Overdue(now time.Duration) time.Duration {
	return max(
		now-t.Document-maxDocumentReadAge, now-t.Servers-maxServersReadAge,
		now-t.Records-maxRecordsReadAge, now-t.Maintenance-maxMaintenanceReadAge,
	)
}

// StateSource says where an instance's cluster state comes from: its own reads of the store, or a relay. Relays pass the
// path from the store on, so that two of them never take the state from each other while nobody reads the store. The zero
// value has no source.
type StateSource struct {
	// reads holds this instance's own reads since it last followed a relay.
	reads ReadTimes
	// hasFollowed is true if the instance has followed a relay. followed holds the names of the instances through which the
	// state came, from the one that reads the store to that relay; it is empty if the relay is of a version that does not
	// state them.
	hasFollowed bool
	followed    []string
	// isReading is true if the instance has stopped following to read the store, since readingSince.
	isReading    bool
	readingSince time.Duration
}

// WithReads returns the source after reads of the store.
func (s StateSource) WithReads(reads ReadTimes) StateSource {
	s.reads = reads
	return s
}

// WithReading returns the source after the instance has begun to read the store instead of following a relay.
func (s StateSource) WithReading(since time.Duration) StateSource {
	s.isReading, s.readingSince = true, since
	return s
}

// WithRelay returns the source after the instance has taken the state from a relay, which is the last in the path.
func (s StateSource) WithRelay(path []string) StateSource {
	return StateSource{hasFollowed: true, followed: path}
}

// Path returns the names of the instances through which the state comes, from the one that reads the store to the relay of
// this instance. It is empty if this instance reads the store. It returns false if there is no source: the instance reads
// the store without success.
func (s StateSource) Path(now time.Duration) ([]string, bool) {
	if s.reads.isComplete() && s.reads.Overdue(now) <= 0 {
		return nil, true
	}
	switch {
	case s.isReading && !s.isStarting(now):
		return nil, false
	case s.hasFollowed:
		// Until the first reads have succeeded, the state is still the relay's.
		return s.followed, true
	default:
		// A process that has followed no relay yet has reached the store to register itself.
		return nil, s.isStarting(now)
	}
}

// isStarting reports whether the instance has begun to read the store so recently that the first reads may still be running.
func (s StateSource) isStarting(now time.Duration) bool {
	return s.isReading && now-s.readingSince <= firstReadTimeout
}

// isUsablePath reports whether the instance may take the state from a relay with the path. It must not if the state comes
// from the instance itself. The path is empty if the relay is of a version that does not state it.
func isUsablePath(path []string, self string) bool {
	return len(path) <= maxSourcePath && !slices.Contains(path, self)
}
