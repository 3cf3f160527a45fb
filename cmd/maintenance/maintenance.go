// Package maintenance contains the maintenance commands.
package maintenance

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/maintenance/list"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the maintenance command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "maintenance",
		Usage:    "show the data centres in maintenance",
		Commands: []*cli.Command{list.NewCommand(s)},
	}
}
