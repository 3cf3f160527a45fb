package server

import "github.com/rhubarbwick/rhubarbwick/group"

// Operation is the kind of a Change.
type Operation string

// The kinds of changes.
const (
	Put       Operation = "put"
	Increment Operation = "increment"
	Remove    Operation = "remove"
)

// Table identifies the rows of an organisation in a database.
type Table struct {
	Database     string `json:"slot"`
	Organisation string `json:"organisation"`
}

// Change is a write to a row.
type Change struct {
	Table     Table     `json:"table"`
	Operation Operation `json:"operation"`
	Key       string    `json:"key"`
	Value     string    `json:"value,omitempty"`
}

// Entry is a committed transaction. The first entry of a term has no changes.
type Entry struct {
	Position group.Position `json:"position"`
	Changes  []Change       `json:"changes,omitempty"`
}

// Log is the sequence of committed transactions. It is immutable. Logs derived from each other share memory, so only
// the latest may be extended. The zero value is empty.
type Log struct {
	entries []Entry
	history group.History
}

// History returns the log's history.
func (l Log) History() group.History { return l.history }

// WithTerm returns the log with an additional entry without changes that starts a term.
func (l Log) WithTerm(term group.Term) Log {
	l.history = l.history.WithTerm(term)
	return l.withAppended(term, nil)
}

// WithChanges returns the log with an additional entry of the last term.
func (l Log) WithChanges(changes []Change) Log {
	return l.withAppended(l.history.Last().Term, changes)
}

// WithEntry returns the log with an additional entry that was received from a primary.
func (l Log) WithEntry(e Entry) Log {
	if e.Position.Term != l.history.Last().Term {
		l.history = l.history.WithTerm(e.Position.Term)
	}
	return l.withAppended(e.Position.Term, e.Changes)
}

// WithLast returns the log truncated after the offset last.
func (l Log) WithLast(last uint64) Log {
	// The capacity is limited too, so that appending does not overwrite entries that the longer log still contains.
	return Log{entries: l.entries[:last:last], history: l.history.WithLast(last)}
}

// EntriesAfter returns at most limit entries that follow offset.
func (l Log) EntriesAfter(offset uint64, limit int) []Entry {
	rest := l.entries[offset:]
	return rest[:min(len(rest), limit)]
}

func (l Log) withAppended(term group.Term, changes []Change) Log {
	offset := uint64(len(l.entries)) + 1
	l.entries = append(l.entries, Entry{Position: group.Position{Term: term, Offset: offset}, Changes: changes})
	l.history = l.history.WithLast(offset)
	return l
}

// CommonLastOffset returns the offset of the last entry that both logs contain. Entries of the same term come from the
// same primary, so two logs agree up to the lower of their last offsets in that term.
func CommonLastOffset(a, b group.History) uint64 {
	starts := a.TermStarts()
	end := a.Last().Offset
	for i := len(starts) - 1; i >= 0; i-- {
		last := min(end, lastOffset(b, starts[i].Term))
		if last >= starts[i].First {
			return last
		}
		end = starts[i].First - 1
	}
	return 0
}

// lastOffset returns the offset of the last entry of a term, or zero if there is none.
func lastOffset(h group.History, term group.Term) uint64 {
	starts := h.TermStarts()
	for i, start := range starts {
		if start.Term != term {
			continue
		}
		if i+1 < len(starts) {
			return starts[i+1].First - 1
		}
		return h.Last().Offset
	}
	return 0
}
