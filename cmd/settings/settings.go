// Package settings contains the settings commands.
package settings

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/settings/check"
	"github.com/rhubarbwick/rhubarbwick/cmd/settings/explain"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the settings command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "settings",
		Usage:    "check and explain the settings of an instance",
		Commands: []*cli.Command{check.NewCommand(s), explain.NewCommand(s)},
	}
}
