// Package group contains the group commands.
package group

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/group/list"
	"github.com/rhubarbwick/rhubarbwick/cmd/group/show"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the group command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "group",
		Usage:    "show the database groups as an instance sees them",
		Commands: []*cli.Command{list.NewCommand(s), show.NewCommand(s)},
	}
}
