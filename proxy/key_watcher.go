package proxy

import (
	"context"
	"errors"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// errWithdrawn ends the wait of a transaction whose key was withdrawn.
var errWithdrawn = errors.New("the client's key was withdrawn")

// keyWatcher ends the waits of idle transactions whose key is withdrawn. Until the client's next statement, such a
// transaction would keep its locks and its connection.
type keyWatcher struct {
	documents DocumentSource
	// changed returns a channel that is closed when the document may have changed. It may be nil.
	changed func() <-chan struct{}

	mu      sync.Mutex
	waiting map[*idleTransaction]struct{}
}

// idleTransaction is a transaction that waits for its client's next statement.
type idleTransaction struct {
	allowed organisation.Allowed
	end     context.CancelCauseFunc
}

// add watches the key of an idle transaction until the returned function is called.
func (k *keyWatcher) add(a organisation.Allowed, end context.CancelCauseFunc) (remove func()) {
	t := &idleTransaction{allowed: a, end: end}
	k.mu.Lock()
	if k.waiting == nil {
		k.waiting = make(map[*idleTransaction]struct{})
	}
	k.waiting[t] = struct{}{}
	k.mu.Unlock()
	// The document may have changed since the last statement was authorized.
	k.check(t)
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, t)
	}
}

func (k *keyWatcher) loop(ctx context.Context) {
	if k.changed == nil {
		return
	}
	var checked document.Revision
	for {
		changed := k.changed()
		index, _ := k.documents.CurrentDocument()
		if r := index.Document().Revision; r != checked {
			checked = r
			k.checkAll()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (k *keyWatcher) checkAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for t := range k.waiting {
		k.check(t)
	}
}

// check ends the wait of a transaction whose key was withdrawn. An outdated document ends none: it may be current again
// when the next statement arrives.
func (k *keyWatcher) check(t *idleTransaction) {
	index, fresh := k.documents.CurrentDocument()
	if denied, ok := organisation.ReauthorizeKey(index, t.allowed, fresh).(organisation.Denied); ok && denied.Kind == port.KeyRefused {
		t.end(errWithdrawn)
	}
}
