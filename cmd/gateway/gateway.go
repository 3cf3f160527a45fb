// Package gateway implements the gateway command, which runs an entry instance on the users' platform.
package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// logSettings select one JSON object per line, as log tools and the request explain command expect it.
var logSettings = settings.Log{Level: "info", Format: "json"}

// Options are the options of the gateway command.
type Options struct {
	Streams      streams.Streams
	SettingsPath string
}

// NewCommand returns the gateway command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "gateway",
		Usage: "run an entry instance on the users' platform until it is stopped by a signal",
		Description: "The platform sets the path of the settings file in " + platform.SettingsVariable +
			". SIGTERM stops the instance after its pending requests have ended.\n\n" +
			"Example:\n\n   " + platform.SettingsVariable + "=/etc/rhubarbwick/settings.conf rhubarbwick gateway",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Destination: &opts.SettingsPath},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.SettingsPath == "" {
		opts.SettingsPath = os.Getenv(platform.SettingsVariable)
	}
	cfg, err := platform.LoadSettings(opts.SettingsPath)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := startup.NewLog(logSettings, opts.Streams.Out)
	if err != nil {
		return port.Wrapf(err, port.Invalid, "cannot create the log")
	}
	defer log.Close()
	p, err := newProcess(ctx, cfg, startup.NewIncarnation(), log)
	if err != nil {
		return err
	}
	p.settingsPath = opts.SettingsPath
	return p.run(ctx)
}
