// Package history implements the document history command, which prints the audit trail.
package history

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the document history command.
type Options struct {
	access.ListOptions
	Limit int
}

// NewCommand returns the document history command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{ListOptions: access.ListOptions{Streams: s}}
	return &cli.Command{
		Name:        "history",
		Usage:       "print the changes of the document, newest first",
		Description: "Example:\n\n   rhubarbwick document history --limit 5",
		Flags: opts.Flags(
			&cli.IntFlag{Name: "limit", Usage: "the maximum `NUMBER` of changes, 1 to 200", Value: document.MaxHistory, Destination: &opts.Limit}),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Limit < 1 || opts.Limit > entry.MaxChanges {
		return port.Errorf(port.Invalid, "--limit %d is not between 1 and %d", opts.Limit, entry.MaxChanges)
	}
	changes, err := opts.Access.Client().History(ctx, opts.Limit)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{strconv.FormatUint(c.GetRevision(), 10), c.GetAt(), c.GetAuthor(), c.GetSummary()})
	}
	return opts.Print(changes, []string{"REVISION", "AT", "AUTHOR", "SUMMARY"}, rows)
}
