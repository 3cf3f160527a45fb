// Package platform implements the command that runs the stand-in for the platform's store.
package platform

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/standin/platform"
)

// Options are the options of the platform command.
type Options struct {
	Listen       string
	MaxWatches   int
	InstancesLag time.Duration
	Out          io.Writer
}

// New returns the command, which prints its address to out.
func New(out io.Writer) *cli.Command {
	opts := &Options{Out: out}
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a stand-in for the platform's store",
		Description: "Example:\n  rhubarbwick-standin platform --listen 127.0.0.1:0",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address of the store", Value: "127.0.0.1:0", Destination: &opts.Listen},
			&cli.IntFlag{Name: "max-watches", Usage: "maximum number of pending watches, 0 for no limit", Destination: &opts.MaxWatches},
			&cli.DurationFlag{Name: "instances-lag", Usage: "delay of updates to the list of instances", Destination: &opts.InstancesLag},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := clock.NewService()
	faults := platform.Faults{}.WithMaxWatches(opts.MaxWatches).WithInstancesLag(opts.InstancesLag)
	process, err := platform.Open(ctx, platform.Config{Listen: opts.Listen, Faults: faults}, timer)
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	background.Go(func() { timer.Run(ctx) })
	_, _ = fmt.Fprintf(opts.Out, "platform listens on %s\n", process.Address())
	err = process.Run(ctx)
	cancel()
	background.Wait()
	return err
}
