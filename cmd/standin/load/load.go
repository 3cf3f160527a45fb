// Package load opens many callers to an instance, which stay idle or send statements. Capacity measurements use it.
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

// Options are the flags of the command.
type Options struct {
	access.Options
	Statement string
	Callers   int
	Idle      bool
	Time      time.Duration
	Out       io.Writer
}

// New returns the command. It prints its counts to out.
func New(out io.Writer) *cli.Command {
	opts := &Options{Out: out}
	return &cli.Command{
		Name:  "load",
		Usage: "open many callers that stay idle or send statements",
		Description: "Example:\n  rhubarbwick-standin load --address 127.0.0.1:6432 --organisation clinic --key K " +
			"--route stock --callers 16 --time 10s",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "statement", Usage: "SQL text", Value: "SELECT 1", Destination: &opts.Statement},
			&cli.IntFlag{Name: "callers", Usage: "number of callers", Value: 1, Destination: &opts.Callers},
			&cli.BoolFlag{Name: "idle", Usage: "send no statements", Destination: &opts.Idle},
			&cli.DurationFlag{Name: "time", Usage: "how long to run once all callers are connected", Value: 10 * time.Second, Destination: &opts.Time},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// generator is a number of callers and what they counted.
type generator struct {
	opts    *Options
	conns   []*pgx.Conn
	done    atomic.Int64
	refused atomic.Int64
}

func run(ctx context.Context, opts *Options) error {
	g := &generator{opts: opts}
	if err := g.connect(ctx); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(opts.Out, "connected\t%d\n", len(g.conns)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Time)
	defer cancel()
	start := time.Now()
	var callers sync.WaitGroup
	for _, conn := range g.conns {
		callers.Go(func() { g.loop(ctx, conn) })
	}
	callers.Wait()
	_, err := fmt.Fprintf(opts.Out, "done\t%d\nrefused\t%d\nseconds\t%.2f\n",
		g.done.Load(), g.refused.Load(), time.Since(start).Seconds())
	return err
}

func (g *generator) connect(ctx context.Context) error {
	for range g.opts.Callers {
		conn, err := pgx.Connect(ctx, g.opts.URL())
		if err != nil {
			return port.Wrapf(err, port.Unavailable, "the instance did not take caller %d", len(g.conns)+1)
		}
		g.conns = append(g.conns, conn)
	}
	return nil
}

func (g *generator) loop(ctx context.Context, conn *pgx.Conn) {
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if g.opts.Idle {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		if _, err := conn.PgConn().Exec(context.WithoutCancel(ctx), g.opts.Statement).ReadAll(); err != nil {
			g.refused.Add(1)
			continue
		}
		g.done.Add(1)
	}
}
