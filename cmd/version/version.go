// Package version implements the version command.
package version

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// Options are the options of the version command.
type Options struct {
	Streams streams.Streams
}

// NewCommand returns the version command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example:\n\n   rhubarbwick version",
		Action:      func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(opts.Streams.Out, "rhubarbwick", version)
	return err
}
