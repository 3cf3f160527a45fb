// Package explain implements the session explain command, which prints where a client's next request would be routed.
package explain

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/entry"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
)

// Options are the options of the session explain command.
type Options struct {
	Streams      streams.Streams
	Access       access.Options
	Organisation string
	Route        string
	Token        string
	JSON         bool
}

// NewCommand returns the session explain command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "explain",
		Usage: "explain where a read or write would currently be routed, and why",
		Description: "The instance decides as it would for the client. The key and the rate are not checked.\n\n" +
			"Example:\n\n   rhubarbwick session explain --organisation clinic --route stock --token new",
		Flags: append(opts.Access.Flags(),
			&cli.StringFlag{Name: "organisation", Usage: "the organisation's `NAME`", Required: true, Destination: &opts.Organisation},
			&cli.StringFlag{Name: "route", Usage: "the route's `NAME`", Required: true, Destination: &opts.Route},
			&cli.StringFlag{Name: "token", Usage: "the client's session `TOKEN`, \"new\", or empty", Destination: &opts.Token},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &opts.JSON},
		),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	explanation, err := opts.Access.Client().Explain(ctx, entry.ExplainRequest{
		Organisation: opts.Organisation, Route: opts.Route, Token: opts.Token,
	})
	if err != nil {
		return err
	}
	if opts.JSON {
		return opts.Streams.JSON(explanation)
	}
	if _, err := fmt.Fprintln(opts.Streams.Out, summary(explanation)); err != nil {
		return err
	}
	for _, reason := range explanation.GetReasons() {
		if _, err := fmt.Fprintln(opts.Streams.Out, reason); err != nil {
			return err
		}
	}
	return nil
}

func summary(e *operatorv1.ExplainResponse) string {
	switch {
	case e.GetKind() != "":
		return fmt.Sprintf("The request would be refused and not run (%s).", e.GetKind())
	case e.GetServer() != "":
		return fmt.Sprintf("The request would go to server %s.", e.GetServer())
	default:
		return "The request would wait."
	}
}
