package postgres_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
)

// Guards against parts of a request that are reordered or lost when the server's socket accepts only some of them
// without blocking.
func TestSendToBusyServer(t *testing.T) {
	const batches = 12
	f, server := startOneServer(t)
	running, finish := make(chan struct{}), make(chan struct{})
	server.setScript(func(c *fakeConn, sql string) {
		if sql == "select first" {
			close(running)
			<-finish
		}
		c.run(sql)
	})
	_, frontend := f.login(t, "acme", "stock")
	send := func(messages ...pgproto3.FrontendMessage) {
		for _, m := range append(messages, &pgproto3.Flush{}) {
			frontend.Send(m)
		}
		require.NoError(t, frontend.Flush())
	}
	text := func(n int) string {
		return fmt.Sprintf("select %d %s", n, strings.Repeat("x", postgres.DefaultMaxMessageBytes*9/10))
	}
	send(&pgproto3.Parse{Query: "select first"}, &pgproto3.Bind{}, &pgproto3.Execute{})
	<-running
	for n := range batches {
		if n == batches/2 {
			close(finish)
		}
		send(&pgproto3.Parse{Query: text(n)}, &pgproto3.Bind{}, &pgproto3.Execute{})
	}
	requireResponse(t, frontend, "12DC"+strings.Repeat("12DC", batches)+"Z", &pgproto3.Sync{})
	statements := server.statements()
	require.Len(t, statements, batches+1)
	for n := range batches {
		require.Equal(t, "1 acme/read "+text(n), statements[n+1])
	}
}
