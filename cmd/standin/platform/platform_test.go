package platform_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/cmd/standin/platform"
)

// Guards against a command that does not print its address, or does not end when its context is cancelled.
func TestCommand(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, in := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- platform.New(in).Run(ctx, []string{"platform"}) }()
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	address := regexp.MustCompile(`^platform listens on (\S+)\n$`).FindStringSubmatch(line)
	require.Len(t, address, 2, line)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address[1]+"/objects/a", http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	cancel()
	require.NoError(t, <-done)
}
