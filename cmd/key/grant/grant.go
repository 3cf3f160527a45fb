// Package grant implements the key grant command, which generates a key for an organisation.
package grant

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/organisation"
)

// Options are the options of the key grant command.
type Options struct {
	access.EditOptions
	Organisation string
	ID           string
}

// NewCommand returns the key grant command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{EditOptions: access.EditOptions{Streams: s}}
	return &cli.Command{
		Name:  "grant",
		Usage: "generate a key for an organisation and print it once",
		Description: "The key is generated locally and only its hash is sent to the instance, so it cannot be shown again. If the\n" +
			"outcome is unknown, the key is not printed: check the history, withdraw the id and grant another key.\n\n" +
			"Example:\n\n   rhubarbwick key grant --organisation clinic --id autumn",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "organisation", Usage: "the organisation's `NAME`", Required: true, Destination: &opts.Organisation},
			&cli.StringFlag{Name: "id", Usage: "a new `NAME` for the key, unique in the organisation", Required: true, Destination: &opts.ID},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	var random [organisation.KeySize]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	key, hash := organisation.NewKey(random)
	revision, err := opts.Access.Client().Edit(ctx, entry.EditRequest{
		Edit: document.GrantKey{
			Organisation: opts.Organisation,
			Key:          document.Key{ID: opts.ID, SHA256: hash.String()},
		},
		Author: opts.Author,
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(opts.Streams.Out, "key\t%s\n", key); err != nil {
		return err
	}
	return opts.PrintRevision(revision)
}
