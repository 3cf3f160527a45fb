// Package document contains the document commands.
package document

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/document/apply"
	"github.com/rhubarbwick/rhubarbwick/cmd/document/check"
	"github.com/rhubarbwick/rhubarbwick/cmd/document/history"
	"github.com/rhubarbwick/rhubarbwick/cmd/document/show"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the document command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "document",
		Usage:    "manage the configuration document",
		Commands: []*cli.Command{apply.NewCommand(s), check.NewCommand(s), history.NewCommand(s), show.NewCommand(s)},
	}
}
