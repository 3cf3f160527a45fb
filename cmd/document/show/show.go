// Package show implements the document show command, which prints the current document.
package show

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the document show command.
type Options struct {
	Streams streams.Streams
	Access  access.Options
}

// NewCommand returns the document show command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:        "show",
		Usage:       "print the current document as JSON",
		Description: "Example:\n\n   rhubarbwick document show > document.json",
		Flags:       opts.Access.Flags(),
		Action:      func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	data, err := opts.Access.Client().Show(ctx)
	if err != nil {
		return err
	}
	if len(data) == 0 {
		return port.Errorf(port.NotFound, "the instance has no document")
	}
	_, err = opts.Streams.Out.Write(append(data, '\n'))
	return err
}
