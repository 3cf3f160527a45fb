// Package organisation contains the organisation commands.
package organisation

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/organisation/list"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the organisation command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "organisation",
		Usage:    "show the organisations that share the databases",
		Commands: []*cli.Command{list.NewCommand(s)},
	}
}
