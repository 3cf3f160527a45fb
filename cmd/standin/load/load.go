// Package load implements the load command, which opens many client connections that stay idle or send statements.
// script/measure-capacity uses it.
package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/standin/access"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the load command.
type Options struct {
	access.Options
	Statement string
	Clients   int
	Idle      bool
	Duration  time.Duration
	Out       io.Writer
}

// New returns the command, which prints its counters to out.
func New(out io.Writer) *cli.Command {
	opts := &Options{Out: out}
	return &cli.Command{
		Name:  "load",
		Usage: "open many client connections that stay idle or send statements",
		Description: "Example:\n  rhubarbwick-standin load --address 127.0.0.1:6432 --organisation clinic --key K " +
			"--route stock --callers 16 --time 10s",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "statement", Usage: "SQL text", Value: "SELECT 1", Destination: &opts.Statement},
			&cli.IntFlag{Name: "callers", Usage: "number of connections", Value: 1, Destination: &opts.Clients},
			&cli.BoolFlag{Name: "idle", Usage: "send no statements", Destination: &opts.Idle},
			&cli.DurationFlag{Name: "time", Usage: "how long to run after all clients have connected", Value: 10 * time.Second, Destination: &opts.Duration},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// loadGenerator sends statements over its connections and counts the results.
type loadGenerator struct {
	opts      *Options
	conns     []*pgx.Conn
	completed atomic.Int64
	failed    atomic.Int64
}

func run(ctx context.Context, opts *Options) error {
	g := &loadGenerator{opts: opts}
	if err := g.connect(ctx); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(opts.Out, "connected\t%d\n", len(g.conns)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	start := time.Now()
	var clients sync.WaitGroup
	for _, conn := range g.conns {
		clients.Go(func() { g.loop(ctx, conn) })
	}
	clients.Wait()
	_, err := fmt.Fprintf(opts.Out, "done\t%d\nrefused\t%d\nseconds\t%.2f\n",
		g.completed.Load(), g.failed.Load(), time.Since(start).Seconds())
	return err
}

func (g *loadGenerator) connect(ctx context.Context) error {
	for range g.opts.Clients {
		conn, err := pgx.Connect(ctx, g.opts.URL())
		if err != nil {
			return port.Wrapf(err, port.Unavailable, "cannot open connection %d", len(g.conns)+1)
		}
		g.conns = append(g.conns, conn)
	}
	return nil
}

func (g *loadGenerator) loop(ctx context.Context, conn *pgx.Conn) {
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if g.opts.Idle {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		if _, err := conn.PgConn().Exec(context.WithoutCancel(ctx), g.opts.Statement).ReadAll(); err != nil {
			g.failed.Add(1)
			continue
		}
		g.completed.Add(1)
	}
}
