package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

var committed = request.Committed{Position: group.Position{Term: 2, Offset: 7}}

// Guards against a non-idempotent request that is sent twice, and against a read that fails although it could be
// retried because no part of its response reached the client.
func TestMayRetry(t *testing.T) {
	read, write := request.Exchange{Read: true}, request.Exchange{}
	idempotent, readInTransaction := request.Exchange{Idempotent: true}, request.Exchange{Read: true, InTransaction: true}
	requireRetry(t, "write not sent", true, write)
	requireRetry(t, "write sent", false, write, request.Sent{})
	requireRetry(t, "idempotent write sent", true, idempotent, request.Sent{})
	requireRetry(t, "read sent", true, read, request.Sent{})
	requireRetry(t, "read whose response started", false, read, request.Sent{}, request.ResponseStarted{})
	requireRetry(t, "read in a transaction", false, readInTransaction)
	requireRetry(t, "write rejected by a replica", true, write, request.Sent{}, request.Refused{}, request.Finished{})
	requireRetry(t, "write rejected after a commit", false, write, request.Sent{}, committed, request.Refused{},
		request.Finished{})
	requireRetry(t, "finished read", false, read, request.Sent{}, request.Finished{})
}

// Guards against an error that reports a wrong outcome, such as "not run" for a request that may have run.
func TestOutcome(t *testing.T) {
	discarded := request.AcknowledgmentEnded{Err: port.Errorf(port.NotKept, "replaced")}
	noPrimary := request.AcknowledgmentEnded{Err: port.Errorf(port.NoPrimary, "no primary")}
	requireOutcome(t, "nothing sent", port.NotRun)
	t.Run("idempotent write before its second attempt", func(t *testing.T) {
		x := withEvents(request.Exchange{Idempotent: true}, request.Sent{}).ForRetry()
		require.Equal(t, port.Unknown, x.Outcome())
	})
	requireOutcome(t, "sent", port.Unknown, request.Sent{})
	requireOutcome(t, "nothing committed", port.Done, request.Sent{}, request.Finished{})
	requireOutcome(t, "committed, then connection lost", port.Unknown, request.Sent{}, committed)
	requireOutcome(t, "committed and finished", port.Unknown, request.Sent{}, committed, request.Finished{})
	requireOutcome(t, "acknowledged", port.Done, request.Sent{}, committed, request.Finished{}, request.AcknowledgmentEnded{})
	requireOutcome(t, "commit discarded by a failover", port.Discarded, request.Sent{}, committed, request.Finished{}, discarded)
	requireOutcome(t, "acknowledgment unknown", port.Unknown, request.Sent{}, committed, request.Finished{}, noPrimary)
}

// Guards against a confirmation that is sent to the client before the position of its write is known.
func TestHolds(t *testing.T) {
	synchronised := request.Completed{Tag: "INSERT 0 1", Synchronised: true}
	requireHolds(t, "rows of a write", false, request.Exchange{}, request.Sent{})
	requireHolds(t, "completed write", true, request.Exchange{}, request.Sent{}, synchronised)
	requireHolds(t, "completed read", false, request.Exchange{Read: true}, request.Sent{}, synchronised)
	requireHolds(t, "insert before Sync", false, request.Exchange{}, request.Completed{Tag: "INSERT 0 1"})
	requireHolds(t, "commit before Sync", true, request.Exchange{}, request.Completed{Tag: "COMMIT"})
	t.Run("position is awaited once the response is complete", func(t *testing.T) {
		x := withEvents(request.Exchange{}, request.Sent{}, committed)
		_, awaits := x.PendingAcknowledgment()
		require.False(t, awaits)
		p, awaits := x.WithEvent(request.Finished{}).PendingAcknowledgment()
		require.True(t, awaits)
		require.Equal(t, committed.Position, p)
	})
}

// Guards against prepared statements of one client that use memory without limit.
func TestStatements(t *testing.T) {
	t.Run("number", func(t *testing.T) {
		var s request.Statements
		var err error
		for i := range request.MaxStatements {
			s, err = s.WithStatement(string(rune('a'+i)), []byte("x"))
			require.NoError(t, err)
		}
		_, err = s.WithStatement("one more", nil)
		require.Equal(t, port.TooLarge, port.KindOf(err))
		_, err = s.Without("a").WithStatement("one more", nil)
		require.NoError(t, err)
	})
	t.Run("bytes", func(t *testing.T) {
		s, err := request.Statements{}.WithStatement("a", make([]byte, request.MaxStatementBytes))
		require.NoError(t, err)
		_, err = s.WithStatement("b", []byte("x"))
		require.Equal(t, port.TooLarge, port.KindOf(err))
		_, err = s.WithStatement("a", []byte("x"))
		require.NoError(t, err)
	})
}

func withEvents(x request.Exchange, events ...request.Event) request.Exchange {
	for _, e := range events {
		x = x.WithEvent(e)
	}
	return x
}

func requireRetry(t *testing.T, name string, want bool, x request.Exchange, events ...request.Event) {
	t.Helper()
	t.Run(name, func(t *testing.T) { require.Equal(t, want, withEvents(x, events...).MayRetry()) })
}

func requireOutcome(t *testing.T, name string, want port.Outcome, events ...request.Event) {
	t.Helper()
	t.Run(name, func(t *testing.T) { require.Equal(t, want, withEvents(request.Exchange{}, events...).Outcome()) })
}

func requireHolds(t *testing.T, name string, want bool, x request.Exchange, events ...request.Event) {
	t.Helper()
	t.Run(name, func(t *testing.T) { require.Equal(t, want, withEvents(x, events...).HoldsResponse()) })
}
