// Package serve runs an entry instance.
package serve

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/settings/check"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// Options are the options of the serve command.
type Options struct {
	Streams streams.Streams
	Path    string
}

// NewCommand returns the serve command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry instance until it is told to stop",
		Description: "SIGTERM and SIGINT stop the instance without cutting a request.\n\n" +
			"Example:\n\n   rhubarbwick serve --settings kigali-1.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the INI `FILE`", Required: true, Destination: &opts.Path},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	cfg, err := check.Load(opts.Path, opts.Streams.Err)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	_ = cfg
	<-ctx.Done()
	return nil
}
