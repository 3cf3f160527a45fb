// Package apply implements the document apply command, which replaces the document.
package apply

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the document apply command.
type Options struct {
	access.EditOptions
	Path    string
	Base    uint64
	Summary string
}

// NewCommand returns the document apply command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{EditOptions: access.EditOptions{Streams: s}}
	return &cli.Command{
		Name:  "apply",
		Usage: "replace the document",
		Description: "The document is validated as a whole. With --base the command fails if another operator has changed\n" +
			"the document since that revision.\n\n" +
			"Example:\n\n   rhubarbwick document apply --file document.json --base 12 --summary 'new partner'",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "file", Usage: "the JSON `FILE`", Required: true, Destination: &opts.Path},
			&cli.Uint64Flag{Name: "base", Usage: "the `REVISION` that the document is based on; 0 means any", Destination: &opts.Base},
			&cli.StringFlag{Name: "summary", Usage: "the summary of the change in the audit trail", Destination: &opts.Summary},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	data, err := os.ReadFile(opts.Path)
	if err != nil {
		return port.Wrapf(err, port.Invalid, "cannot read the document")
	}
	revision, err := opts.Access.Client().Apply(ctx, data, document.Revision(opts.Base), opts.Author, opts.Summary)
	if err != nil {
		return err
	}
	return opts.PrintRevision(revision)
}
