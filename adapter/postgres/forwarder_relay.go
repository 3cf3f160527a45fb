package postgres

import (
	"errors"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// run forwards what the client sends, to whichever instance serves it, until the client leaves or forwarding ends.
func (f *forwarder) run(done chan<- struct{}) {
	defer f.listener.running.Done()
	defer close(done)
	var current entry.ForwardConn
	var broken bool
	frames := &frameForwarder{reader: f.client.reader}
	frames.onFrame = func(kind byte, head []byte) bool {
		conn, ok := f.handleClientFrame(kind, head)
		current = conn
		return ok
	}
	frames.write = func(data []byte) error {
		_, err := current.Write(data)
		broken = err != nil
		return err
	}
	for {
		err := frames.next()
		if broken && f.awaitNewConn(current) && !frames.partial {
			broken = false
			continue
		}
		if err != nil {
			f.handleClientEnd(err)
			return
		}
	}
}

// handleClientFrame records a message of the client and returns the connection to write it to. While the session has no
// usable connection, it blocks; nothing of the message has been written then. It returns false if the session ended.
func (f *forwarder) handleClientFrame(kind byte, head []byte) (entry.ForwardConn, bool) {
	if kind == 'X' {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.draining && f.session.IsIdle() && !f.ended {
		f.changed.Wait()
	}
	if _, ok := writtenEvent(kind); ok {
		f.session = f.session.WithEvent(request.Received{})
	}
	for f.isDisconnected() && !f.ended {
		f.changed.Wait()
	}
	if f.ended {
		return nil, false
	}
	for _, event := range sessionEvents(kind, head) {
		f.session = f.session.WithEvent(event)
	}
	return f.conn, true
}

// isDisconnected reports whether the session has no connection, or one that is about to be closed. The caller must hold
// mu.
func (f *forwarder) isDisconnected() bool {
	return f.conn == nil || f.listener.cfg.Forward.Connector.IsInstanceLost(f.conn)
}

// sessionEvents returns the events for a message of the client that is written. head is the start of its body.
func sessionEvents(kind byte, head []byte) []request.SessionEvent {
	event, ok := writtenEvent(kind)
	switch {
	case !ok:
		return nil
	case kind == 'P':
		name, _ := cString(head)
		return []request.SessionEvent{request.StatementPrepared{Name: name}, event}
	case kind == 'C' && len(head) > 0 && head[0] == 'S':
		name, _ := cString(head[1:])
		return []request.SessionEvent{request.StatementClosed{Name: name}, event}
	}
	return []request.SessionEvent{event}
}

// writtenEvent returns the event for a message that is written. There is none for COPY data, which gets no response.
func writtenEvent(kind byte) (request.Written, bool) {
	switch kind {
	case 'Q', 'S':
		return request.Written{Synchronised: true}, true
	case 'd', 'c', 'f':
		return request.Written{}, false
	}
	return request.Written{}, true
}

// awaitNewConn waits until the session has left a broken connection. It returns false if the session ended instead.
func (f *forwarder) awaitNewConn(broken entry.ForwardConn) bool {
	_ = broken.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.conn == broken && !f.ended {
		f.changed.Wait()
	}
	return !f.ended
}

// handleClientEnd ends the session because the client sends nothing more.
func (f *forwarder) handleClientEnd(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.clientLeft = true
	var protocolErr *port.Error
	if errors.As(err, &protocolErr) && !errors.Is(err, errNotForwarded) {
		f.protocolErr = err
	}
	if f.conn != nil {
		_ = f.conn.Close()
	}
	f.client.cancel(errors.New("the client closed the connection"))
}

// relay forwards what the serving instance sends until the connection ends.
func (f *forwarder) relay(conn entry.ForwardConn) connEnd {
	var fatal bool
	var writeErr error
	frames := &frameForwarder{reader: newForwardReader(conn)}
	frames.onFrame = func(kind byte, head []byte) bool {
		forwarded, last := f.handleServerFrame(kind, head)
		fatal = fatal || last && forwarded
		return forwarded
	}
	frames.write = func(data []byte) error {
		writeErr = f.writeToClient(data)
		return writeErr
	}
	for {
		err := frames.next()
		switch {
		case writeErr != nil:
			return clientLeft{}
		case fatal && err == nil:
			f.client.finished = true
			return fatalErrorSent{}
		case err != nil:
			return f.endReason(frames.partial)
		}
		f.continueDrain()
	}
}

// continueDrain continues a drain after part of a response was sent to the client.
func (f *forwarder) continueDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		f.drain()
	}
}

// handleServerFrame records a message of the serving instance. It reports whether the message is forwarded, and whether
// it is the last one.
func (f *forwarder) handleServerFrame(kind byte, head []byte) (forwarded, last bool) {
	switch kind {
	case 'Z', 'S', 'E':
	default:
		return true, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case 'Z':
		f.responses++
		f.session = f.session.WithEvent(request.Answered{InTransaction: len(head) > 0 && head[0] != 'I'})
	case 'S':
		if name, rest := cString(head); name == sessionParameter {
			token, _ := cString(rest)
			f.session = f.session.WithEvent(request.TokenRenewed{Token: token})
		}
	case 'E':
		f.session = f.session.WithEvent(request.ErrorReported{})
		fields := readErrorFields(head)
		if !fields.isFatal() {
			return true, false
		}
		if f.continuesAfter(fields) {
			// From here on, requests have to wait for another instance. The outcome of one written to this connection
			// would be unknown.
			f.conn = nil
			return false, true
		}
		return true, true
	}
	return true, false
}

// continuesAfter reports whether the session continues at another instance after a fatal error: the serving instance is
// stopping, and no request or transaction of the client is open there.
func (f *forwarder) continuesAfter(e errorFields) bool {
	if e.code != port.Stopping.Codes().SQLState || f.draining {
		return false
	}
	switch f.session.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		return true
	default:
		return false
	}
}

// endReason returns why the connection to the serving instance ended.
func (f *forwarder) endReason(partial bool) connEnd {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.protocolErr != nil:
		return clientProtocolError{f.protocolErr}
	case f.clientLeft:
		return clientLeft{}
	case f.idleTimedOut:
		return drained{"the instance is stopping and the transaction was idle"}
	case f.draining && f.session.IsIdle():
		return drained{"the instance is stopping"}
	}
	return instanceLost{partial: partial}
}

// writeToClient writes to the client. The connection is closed if the client does not accept the data within
// the limit. Until then, nothing more is read from the serving instance.
func (f *forwarder) writeToClient(data []byte) error {
	stop := f.listener.limitWrite(f.client, false)
	defer stop()
	_, err := f.client.conn.Write(data)
	return err
}
