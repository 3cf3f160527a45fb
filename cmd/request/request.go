// Package request holds the commands on callers' requests.
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
		Usage:    "look into callers' requests",
		Commands: []*cli.Command{explain.NewCommand(s)},
	}
}
