package proxy

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// errWithdrawn ends the wait of a transaction whose key was withdrawn.
var errWithdrawn = port.Errorf(port.KeyRefused, "the client's key was withdrawn")

// keyWatcher ends the waits of idle transactions whose key is withdrawn.
type keyWatcher struct {
	documents DocumentSource
	// changed returns a channel that is closed when the document may have changed. It may be nil.
	changed func() <-chan struct{}
	idle    idleTransactions
}

// add watches the key of an idle transaction until the returned function is called.
func (k *keyWatcher) add(a organisation.Allowed, end context.CancelCauseFunc) (remove func()) {
	return k.idle.add(func() { k.check(a, end) })
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
			k.idle.checkAll()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// check ends the wait of a transaction whose key was withdrawn. An outdated document ends none: it may be current again
// when the next statement arrives.
func (k *keyWatcher) check(a organisation.Allowed, end context.CancelCauseFunc) {
	index, fresh := k.documents.CurrentDocument()
	if denied, ok := organisation.ReauthorizeKey(index, a, fresh).(organisation.Denied); ok && denied.Kind == port.KeyRefused {
		end(errWithdrawn)
	}
}
