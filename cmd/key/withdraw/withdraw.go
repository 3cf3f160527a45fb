// Package withdraw implements the key withdraw command, which removes a key of an organisation.
package withdraw

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
)

// Options are the options of the key withdraw command.
type Options struct {
	access.EditOptions
	Organisation string
	ID           string
}

// NewCommand returns the key withdraw command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{EditOptions: access.EditOptions{Streams: s}}
	return &cli.Command{
		Name:        "withdraw",
		Usage:       "withdraw a key; open connections that use it are rejected at their next statement",
		Description: "Example:\n\n   rhubarbwick key withdraw --organisation clinic --id autumn",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "organisation", Usage: "the organisation's `NAME`", Required: true, Destination: &opts.Organisation},
			&cli.StringFlag{Name: "id", Usage: "the key's `NAME`", Required: true, Destination: &opts.ID},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	revision, err := opts.Access.Client().Edit(ctx, entry.EditRequest{
		Edit:   document.WithdrawKey{Organisation: opts.Organisation, KeyID: opts.ID},
		Author: opts.Author,
	})
	if err != nil {
		return err
	}
	return opts.PrintRevision(revision)
}
