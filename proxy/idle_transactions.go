package proxy

import "sync"

// idleTransactions holds a check for each transaction that waits for its client's next statement. Until then, such a
// transaction keeps its locks and its connection.
type idleTransactions struct {
	mu     sync.Mutex
	checks map[*transactionCheck]struct{}
}

// transactionCheck ends the wait of one transaction if the transaction must not continue.
type transactionCheck struct{ run func() }

// add runs the check, because what it checks may have changed since the transaction's last statement, and then at each
// call of checkAll until the returned function is called.
func (t *idleTransactions) add(check func()) (remove func()) {
	c := &transactionCheck{run: check}
	t.mu.Lock()
	if t.checks == nil {
		t.checks = make(map[*transactionCheck]struct{})
	}
	t.checks[c] = struct{}{}
	t.mu.Unlock()
	check()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.checks, c)
	}
}

func (t *idleTransactions) checkAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.checks {
		c.run()
	}
}
