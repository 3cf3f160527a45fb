// Package gateway runs an entry instance on the users' platform.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/platform"
)

// Options are the options of the gateway command.
type Options struct {
	Streams streams.Streams
	Path    string
}

// NewCommand returns the gateway command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "gateway",
		Usage: "run an entry instance on the users' platform until it is told to stop",
		Description: "The platform names the settings file in " + platform.SettingsVariable +
			". SIGTERM stops the instance without cutting a request.\n\n" +
			"Example:\n\n   " + platform.SettingsVariable + "=/etc/rhubarbwick/settings.conf rhubarbwick gateway",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Destination: &opts.Path},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Path == "" {
		opts.Path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(opts.Path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := newProcess(ctx, settings, newIncarnation(), newLogger(opts.Streams))
	if err != nil {
		return err
	}
	p.path = opts.Path
	return p.run(ctx)
}

// newLogger writes one JSON object a line to standard output, where the on-call engineers look for them.
func newLogger(s streams.Streams) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(s.Out)), zapcore.InfoLevel)
	return zap.New(core)
}

// newIncarnation draws the identity of this start. crypto/rand does not fail.
func newIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
