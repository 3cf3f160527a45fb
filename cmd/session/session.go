// Package session contains the session commands.
package session

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/session/explain"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the session command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "session",
		Usage:    "analyse sessions of clients",
		Commands: []*cli.Command{explain.NewCommand(s)},
	}
}
