// Package check implements the settings check command, which validates a settings file.
package check

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the settings check command.
type Options struct {
	Streams streams.Streams
	Path    string
}

// NewCommand returns the settings check command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:        "check",
		Usage:       "validate a settings file and print all errors",
		Description: "Example:\n\n   rhubarbwick settings check --settings kigali-1.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the INI `FILE`", Required: true, Destination: &opts.Path},
		},
		Action: func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	if _, err := Load(opts.Path, opts.Streams.Err); err != nil {
		return err
	}
	_, err := fmt.Fprintln(opts.Streams.Out, "settings: no fault")
	return err
}

// Load reads a settings file and prints all violations to w. The error is of kind Invalid if there are any.
func Load(path string, w io.Writer) (settings.Settings, error) {
	s, violations, err := settings.Load(path)
	if err != nil {
		return s, err
	}
	for _, violation := range violations {
		if _, err := fmt.Fprintln(w, "settings:", violation); err != nil {
			return s, err
		}
	}
	if len(violations) > 0 {
		return s, port.Errorf(port.Invalid, "%s has %d errors", path, len(violations))
	}
	return s, nil
}
