// Package instance contains the instance commands.
package instance

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/instance/list"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the instance command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "instance",
		Usage:    "show the entry instances",
		Commands: []*cli.Command{list.NewCommand(s)},
	}
}
