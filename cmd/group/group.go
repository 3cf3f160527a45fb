// Package group holds the commands on database groups.
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
		Usage:    "look at the database groups as one instance sees them",
		Commands: []*cli.Command{list.NewCommand(s), show.NewCommand(s)},
	}
}
