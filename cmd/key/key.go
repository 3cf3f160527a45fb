// Package key contains the key commands.
package key

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/key/grant"
	"github.com/rhubarbwick/rhubarbwick/cmd/key/withdraw"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// NewCommand returns the key command.
func NewCommand(s streams.Streams) *cli.Command {
	return &cli.Command{
		Name:     "key",
		Usage:    "grant and withdraw the keys of clients",
		Commands: []*cli.Command{grant.NewCommand(s), withdraw.NewCommand(s)},
	}
}
