// Command rhubarbwick-standin runs the stand-ins for the platform's store and the database servers, and test clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/standin/call"
	"github.com/rhubarbwick/rhubarbwick/cmd/standin/load"
	"github.com/rhubarbwick/rhubarbwick/cmd/standin/platform"
	"github.com/rhubarbwick/rhubarbwick/cmd/standin/server"
	"github.com/rhubarbwick/rhubarbwick/port"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "rhubarbwick-standin",
		Usage:    "stand-ins for tests",
		Commands: []*cli.Command{platform.New(os.Stdout), server.New(os.Stdout), call.New(os.Stdout), load.New(os.Stdout)},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return port.KindOf(err).Codes().ExitCode
	}
	return 0
}
