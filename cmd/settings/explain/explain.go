// Package explain implements the settings explain command, which describes settings.
package explain

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the settings explain command.
type Options struct {
	Streams streams.Streams
	Name    string
}

// NewCommand returns the settings explain command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:        "explain",
		Usage:       "describe a setting, with its unit, range and default",
		Description: "Example:\n\n   rhubarbwick settings explain --name callers.start_up_ms",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "a `SECTION` or `SECTION.KEY`; default all settings", Destination: &opts.Name},
		},
		Action: func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	found := settings.Explain(opts.Name)
	if len(found) == 0 {
		return port.Errorf(port.NotFound, "setting %q does not exist", opts.Name)
	}
	for i, e := range found {
		if i > 0 {
			if _, err := fmt.Fprintln(opts.Streams.Out); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprint(opts.Streams.Out, e); err != nil {
			return err
		}
	}
	return nil
}
