// Package call implements the call command, which sends one statement to an instance as a PostgreSQL client. script/demo
// uses it.
package call

import (
	"context"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/standin/access"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the call command.
type Options struct {
	access.Options
	Session   string
	Statement string
	Out       io.Writer
}

// New returns the command, which prints the rows and the session token to out.
func New(out io.Writer) *cli.Command {
	opts := &Options{Out: out}
	return &cli.Command{
		Name:  "call",
		Usage: "send one statement to an instance and print the result and the session token",
		Description: "Example:\n  rhubarbwick-standin call --address 127.0.0.1:6432 --organisation clinic --key K " +
			"--route orders --statement \"SELECT value FROM kv WHERE key = 'tin'\"",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "session", Usage: "session token of an earlier call", Destination: &opts.Session},
			&cli.StringFlag{Name: "statement", Usage: "SQL text", Required: true, Destination: &opts.Statement},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	cfg, err := pgx.ParseConfig(opts.URL())
	if err != nil {
		return port.Wrapf(err, port.Invalid, "cannot parse the connection URL")
	}
	if opts.Session != "" {
		cfg.RuntimeParams["rhubarbwick.session"] = opts.Session
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return port.Wrapf(err, port.Unavailable, "cannot connect to the instance")
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.PgConn().Exec(ctx, opts.Statement).ReadAll()
	if err != nil {
		return port.Wrapf(err, port.Unavailable, "the statement failed")
	}
	for _, result := range results {
		for _, row := range result.Rows {
			if _, err := fmt.Fprintf(opts.Out, "value\t%s\n", row[0]); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(opts.Out, "done\t%s\n", result.CommandTag); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(opts.Out, "session\t%s\n", conn.PgConn().ParameterStatus("rhubarbwick.session"))
	return err
}
