// Package server is the command that runs the stand-in of a database server.
package server

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// Options are the flags of the command.
type Options struct {
	Name           string
	Listen         string
	Admin          string
	User           string
	Password       string
	MaxConnections int
	OpenTime       time.Duration
	Lag            time.Duration
	Out            io.Writer
}

// New returns the command. It prints its addresses to out.
func New(out io.Writer) *cli.Command {
	opts := &Options{Out: out}
	return &cli.Command{
		Name:        "server",
		Usage:       "run a stand-in of a database server",
		Description: "Example:\n  rhubarbwick-standin server --name a --listen 127.0.0.1:0 --admin 127.0.0.1:0",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "name of the server in its group", Required: true, Destination: &opts.Name},
			&cli.StringFlag{Name: "listen", Usage: "address for callers, instances and replicas", Value: "127.0.0.1:0", Destination: &opts.Listen},
			&cli.StringFlag{Name: "admin", Usage: "address for commanded faults", Value: "127.0.0.1:0", Destination: &opts.Admin},
			&cli.StringFlag{Name: "user", Usage: "the one user that may log in", Value: "system", Destination: &opts.User},
			&cli.StringFlag{Name: "password", Usage: "password of the user", Value: "system", Destination: &opts.Password},
			&cli.IntFlag{Name: "max-connections", Usage: "bound on connections", Value: server.DefaultMaxConnections, Destination: &opts.MaxConnections},
			&cli.DurationFlag{Name: "open-time", Usage: "time to open a connection", Destination: &opts.OpenTime},
			&cli.DurationFlag{Name: "lag", Usage: "replication lag", Destination: &opts.Lag},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := clock.NewService()
	process, err := server.Open(ctx, server.Config{
		Name:           opts.Name,
		Listen:         opts.Listen,
		Admin:          opts.Admin,
		Login:          server.Login{User: opts.User, Password: opts.Password},
		MaxConnections: opts.MaxConnections,
		ConnectDelay:   opts.OpenTime,
		Lag:            opts.Lag,
	}, timer)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.Out, "server %s listens on %s, admin on %s\n", opts.Name, process.Address(), process.AdminAddress())
	var duties sync.WaitGroup
	duties.Go(func() { timer.Run(ctx) })
	err = process.Run(ctx)
	cancel()
	duties.Wait()
	return err
}
