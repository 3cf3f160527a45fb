package server_test

import (
	"bufio"
	"context"
	"io"
	"regexp"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/cmd/standin/server"
)

// Guards against a command that does not print its addresses, or does not end when its context is cancelled.
func TestCommand(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, in := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- server.New(in).Run(ctx, []string{"server", "--name", "a", "--password", "secret"}) }()
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	addresses := regexp.MustCompile(`^server a listens on (\S+), admin on (\S+)\n$`).FindStringSubmatch(line)
	require.Len(t, addresses, 3, line)
	conn, err := pgconn.Connect(ctx, "postgres://system:secret@"+addresses[1]+"/slot?sslmode=disable")
	require.NoError(t, err)
	require.NoError(t, conn.Close(ctx))
	cancel()
	require.NoError(t, <-done)
}
