// Package request contains the request commands.
package request

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/request/explain"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the request command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "request",
		Usage:    "analyse requests of clients",
		Commands: []*cli.Command{explain.NewCommand(s)},
	}
}
