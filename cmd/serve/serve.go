// Package serve implements the serve command, which runs an entry instance.
package serve

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/settings/check"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the serve command.
type Options struct {
	Streams      streams.Streams
	SettingsPath string
	Incarnation  string
}

// NewCommand returns the serve command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry instance until it is stopped by a signal",
		Description: "SIGTERM and SIGINT stop the instance after its pending requests have ended.\n\n" +
			"Example:\n\n   rhubarbwick serve --settings kigali-1.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the INI `FILE`", Required: true, Destination: &opts.SettingsPath},
			&cli.StringFlag{
				Name:        "incarnation",
				Usage:       "the `ID` under which the platform lists this process; the default is random",
				Destination: &opts.Incarnation,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	cfg, err := check.Load(opts.SettingsPath, opts.Streams.Err)
	if err != nil {
		return err
	}
	if opts.Incarnation == "" {
		opts.Incarnation = startup.NewIncarnation()
	}
	log, err := startup.NewLog(cfg.Log, opts.Streams.Err)
	if err != nil {
		return port.Wrapf(err, port.Invalid, "cannot create the log")
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := newProcess(ctx, cfg, opts.Incarnation, log)
	if err != nil {
		return err
	}
	return p.run(ctx, opts.Streams.Out)
}
