package server

import "github.com/rhubarbwick/rhubarbwick/group"

// Operation is what a change does to a row.
type Operation string

// The operations of a change.
const (
	Put       Operation = "put"
	Increment Operation = "increment"
	Remove    Operation = "remove"
)

// Table names the rows of one organisation in one slot.
type Table struct {
	Slot         string `json:"slot"`
	Organisation string `json:"organisation"`
}

// Change is one write to a row.
type Change struct {
	Table     Table     `json:"table"`
	Operation Operation `json:"operation"`
	Key       string    `json:"key"`
	Value     string    `json:"value,omitempty"`
}

// Entry is a committed transaction. An entry without changes starts a term.
type Entry struct {
	Position group.Position `json:"position"`
	Changes  []Change       `json:"changes,omitempty"`
}

// Log is the sequence of committed transactions. A Log is never changed in place, but only the newest Log made from
// another may be extended, because they share memory. The zero value is empty.
type Log struct {
	entries []Entry
	history group.History
}

// History returns the log's history.
func (l Log) History() group.History { return l.history }

// WithTerm returns the log with an empty entry that starts a term.
func (l Log) WithTerm(term group.Term) Log {
	l.history = l.history.WithTerm(term)
	return l.withNext(term, nil)
}

// WithChanges returns the log with another entry of the last term.
func (l Log) WithChanges(changes []Change) Log {
	return l.withNext(l.history.Last().Term, changes)
}

// WithEntry returns the log with an entry that was copied from a primary.
func (l Log) WithEntry(e Entry) Log {
	if e.Position.Term != l.history.Last().Term {
		l.history = l.history.WithTerm(e.Position.Term)
	}
	return l.withNext(e.Position.Term, e.Changes)
}

// WithLast returns the log up to an offset.
func (l Log) WithLast(last uint64) Log {
	// The capacity is cut too, so that a later entry does not overwrite one that the longer log still holds.
	return Log{entries: l.entries[:last:last], history: l.history.WithLast(last)}
}

// After returns at most limit entries that follow an offset.
func (l Log) After(offset uint64, limit int) []Entry {
	rest := l.entries[offset:]
	return rest[:min(len(rest), limit)]
}

func (l Log) withNext(term group.Term, changes []Change) Log {
	offset := uint64(len(l.entries)) + 1
	l.entries = append(l.entries, Entry{Position: group.Position{Term: term, Offset: offset}, Changes: changes})
	l.history = l.history.WithLast(offset)
	return l
}

// CommonLast returns the offset of the last entry that both logs hold. Entries of the same term come from the same
// primary, so two logs with the same term agree up to the end of the shorter era.
func CommonLast(a, b group.History) uint64 {
	eras := a.TermStarts()
	end := a.Last().Offset
	for i := len(eras) - 1; i >= 0; i-- {
		last := min(end, lastOf(b, eras[i].Term))
		if last >= eras[i].First {
			return last
		}
		end = eras[i].First - 1
	}
	return 0
}

// lastOf returns the offset of the last entry of a term, and zero when there is none.
func lastOf(h group.History, term group.Term) uint64 {
	eras := h.TermStarts()
	for i, era := range eras {
		if era.Term != term {
			continue
		}
		if i+1 < len(eras) {
			return eras[i+1].First - 1
		}
		return h.Last().Offset
	}
	return 0
}
