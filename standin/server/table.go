package server

import "strconv"

// tables holds the rows of all organisations. Only the server's goroutine accesses it.
type tables map[Table]map[string]string

// newTables returns the rows that result from applying a log.
func newTables(l Log) tables {
	t := make(tables)
	for _, e := range l.entries {
		t.apply(e.Changes)
	}
	return t
}

func (t tables) apply(changes []Change) {
	for _, c := range changes {
		rows, ok := t[c.Table]
		if !ok {
			rows = make(map[string]string)
			t[c.Table] = rows
		}
		value, exists := rows[c.Key]
		if value, exists = c.after(value, exists); exists {
			rows[c.Key] = value
		} else {
			delete(rows, c.Key)
		}
	}
}

// read returns a row as seen by a transaction with the given uncommitted changes.
func (t tables) read(table Table, key string, changes []Change) (string, bool) {
	value, exists := t[table][key]
	for _, c := range changes {
		if c.Table == table && c.Key == key {
			value, exists = c.after(value, exists)
		}
	}
	return value, exists
}

// after returns the row after the change. An increment is applied to the row's value at commit, so that two
// transactions that increment the same row lose no update although there are no row locks.
func (c Change) after(value string, exists bool) (string, bool) {
	switch c.Operation {
	case Put:
		return c.Value, true
	case Remove:
		return "", false
	case Increment:
		n, err := strconv.ParseInt(value, 10, 64)
		if !exists || err != nil {
			return value, exists
		}
		return strconv.FormatInt(n+1, 10), true
	}
	return value, exists
}
