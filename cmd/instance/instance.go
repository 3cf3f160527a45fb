// Package instance holds the commands on the instances of the fleet.
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
		Usage:    "look at the instances of the fleet",
		Commands: []*cli.Command{list.NewCommand(s)},
	}
}
