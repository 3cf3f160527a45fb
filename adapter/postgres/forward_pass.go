package postgres

import (
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// run passes on what the caller sends, to whichever instance serves it, until the caller leaves or the forwarding ends.
func (f *forwarded) run(read chan<- struct{}) {
	defer f.listener.duties.Done()
	defer close(read)
	var to entry.ForwardConn
	var broken bool
	messages := &frameForwarder{reader: f.caller.reader}
	messages.note = func(kind byte, head []byte) bool {
		conn, ok := f.noteAsked(kind, head)
		to = conn
		return ok
	}
	messages.write = func(data []byte) error {
		_, err := to.Write(data)
		broken = err != nil
		return err
	}
	for {
		err := messages.next()
		if broken && f.awaitOther(to) && !messages.partial {
			broken = false
			continue
		}
		if err != nil {
			f.leave(err)
			return
		}
	}
}

// noteAsked takes a message of the caller and returns the connection to write it to. While the session moves it waits
// with the message, of which nothing was written. It reports false at the end of the session.
func (f *forwarded) noteAsked(kind byte, head []byte) (entry.ForwardConn, bool) {
	if kind == 'X' {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.stopping && f.passage.IsIdle() && !f.ended {
		f.changed.Wait()
	}
	if _, asks := written(kind); asks {
		f.passage = f.passage.WithEvent(request.Received{})
	}
	for f.isMoving() && !f.ended {
		f.changed.Wait()
	}
	if f.ended {
		return nil, false
	}
	for _, step := range stepsOf(kind, head) {
		f.passage = f.passage.WithEvent(step)
	}
	return f.conn, true
}

// isMoving reports whether the session has no connection, or one that ends by itself soon. The caller holds mu.
func (f *forwarded) isMoving() bool {
	return f.conn == nil || f.listener.cfg.Forward.Connector.IsInstanceLost(f.conn)
}

// stepsOf returns the steps of a message of the caller that is written. head is the start of its body.
func stepsOf(kind byte, head []byte) []request.SessionEvent {
	step, asks := written(kind)
	switch {
	case !asks:
		return nil
	case kind == 'P':
		name, _ := cString(head)
		return []request.SessionEvent{request.StatementPrepared{Name: name}, step}
	case kind == 'C' && len(head) > 0 && head[0] == 'S':
		name, _ := cString(head[1:])
		return []request.SessionEvent{request.StatementClosed{Name: name}, step}
	}
	return []request.SessionEvent{step}
}

// written returns the step of a message that is written. COPY data is not answered.
func written(kind byte) (request.Written, bool) {
	switch kind {
	case 'Q', 'S':
		return request.Written{Synchronised: true}, true
	case 'd', 'c', 'f':
		return request.Written{}, false
	}
	return request.Written{}, true
}

// awaitOther waits until the session has moved away from a connection that broke. It reports false when it ended instead.
func (f *forwarded) awaitOther(broken entry.ForwardConn) bool {
	_ = broken.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.conn == broken && !f.ended {
		f.changed.Wait()
	}
	return !f.ended
}

// leave ends the session because nothing more comes from the caller.
func (f *forwarded) leave(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.gone = true
	var told *port.Error
	if errors.As(err, &told) && !errors.Is(err, errNotForwarded) {
		f.broke = err
	}
	if f.conn != nil {
		_ = f.conn.Close()
	}
	f.caller.leave(errors.New("the caller left"))
}

// relay passes on what the serving instance sends until the connection ends.
func (f *forwarded) relay(conn entry.ForwardConn) ending {
	var fatal bool
	var refused error
	messages := &frameForwarder{reader: newLinkReader(conn)}
	messages.note = func(kind byte, head []byte) bool {
		passed, last := f.noteAnswer(kind, head)
		fatal = fatal || last && passed
		return passed
	}
	messages.write = func(data []byte) error {
		refused = f.writeToCaller(data)
		return refused
	}
	for {
		err := messages.next()
		switch {
		case refused != nil:
			return callerGone{}
		case fatal && err == nil:
			f.caller.finished = true
			return sessionEnded{}
		case err != nil:
			return f.endOf(messages.partial)
		}
		f.settle()
	}
}

// settle follows a part of an answer that the caller has.
func (f *forwarded) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		f.proceedStop()
	}
}

// noteAnswer takes a message of the serving instance. It reports whether the message is passed on, and whether it is the
// last one.
func (f *forwarded) noteAnswer(kind byte, head []byte) (passed, last bool) {
	switch kind {
	case 'Z', 'S', 'E':
	default:
		return true, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case 'Z':
		f.answers++
		f.passage = f.passage.WithEvent(request.Answered{InTransaction: len(head) > 0 && head[0] != 'I'})
	case 'S':
		if name, rest := cString(head); name == sessionParameter {
			token, _ := cString(rest)
			f.passage = f.passage.WithEvent(request.TokenRenewed{Token: token})
		}
	case 'E':
		f.passage = f.passage.WithEvent(request.ErrorReported{})
		fields := readErrorFields(head)
		if !fields.isFatal() {
			return true, false
		}
		if f.movesAfter(fields) {
			// From here on a request waits for another instance; one that was still written here would be unknown.
			f.conn = nil
			return false, true
		}
		return true, true
	}
	return true, false
}

// movesAfter reports whether the session goes on elsewhere after an error that ends the connection: the serving instance
// stops, and nothing of the caller is open there.
func (f *forwarded) movesAfter(e errorFields) bool {
	if e.code != port.Stopping.Codes().SQLState || f.stopping {
		return false
	}
	switch f.passage.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		return true
	default:
		return false
	}
}

// endOf returns why the connection to the serving instance ended.
func (f *forwarded) endOf(cut bool) ending {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.broke != nil:
		return callerBroke{f.broke}
	case f.gone:
		return callerGone{}
	case f.expired:
		return stopReached{"the instance is stopping and the transaction was idle"}
	case f.stopping && f.passage.IsIdle():
		return stopReached{"the instance is stopping"}
	}
	return instanceLost{cut: cut}
}

// writeToCaller writes to the caller. A caller that does not accept a part of its answer within the limit loses its connection;
// until then nothing more is read from the serving instance.
func (f *forwarded) writeToCaller(data []byte) error {
	stop := f.listener.timer.After(writeLimit, func(time.Duration) { _ = f.caller.conn.Close() })
	defer stop()
	_, err := f.caller.conn.Write(data)
	return err
}
