// Package root contains the root command and converts errors to exit codes.
package root

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/document"
	"github.com/rhubarbwick/rhubarbwick/cmd/gateway"
	"github.com/rhubarbwick/rhubarbwick/cmd/group"
	"github.com/rhubarbwick/rhubarbwick/cmd/instance"
	"github.com/rhubarbwick/rhubarbwick/cmd/key"
	"github.com/rhubarbwick/rhubarbwick/cmd/maintenance"
	"github.com/rhubarbwick/rhubarbwick/cmd/organisation"
	"github.com/rhubarbwick/rhubarbwick/cmd/request"
	"github.com/rhubarbwick/rhubarbwick/cmd/serve"
	"github.com/rhubarbwick/rhubarbwick/cmd/session"
	"github.com/rhubarbwick/rhubarbwick/cmd/settings"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/cmd/version"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Exit codes without an error kind.
const (
	exitOK    = 0
	exitUsage = 2
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, s streams.Streams, args []string) int {
	err := New(s).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if _, printErr := fmt.Fprintf(s.Err, "rhubarbwick: %s\n", err); printErr != nil {
		return exitUsage
	}
	var failure *port.Error
	if errors.As(err, &failure) {
		return port.KindOf(err).Codes().ExitCode
	}
	return exitUsage
}

// New returns the root command.
func New(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:                  "rhubarbwick",
		Usage:                 "a database proxy with session consistency",
		EnableShellCompletion: true,
		Reader:                s.In,
		Writer:                s.Out,
		ErrWriter:             s.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serve.NewCommand(s),
			gateway.NewCommand(s),
			document.NewCommand(s),
			organisation.NewCommand(s),
			key.NewCommand(s),
			group.NewCommand(s),
			instance.NewCommand(s),
			maintenance.NewCommand(s),
			session.NewCommand(s),
			request.NewCommand(s),
			settings.NewCommand(s),
			version.NewCommand(s),
		},
	}
}
