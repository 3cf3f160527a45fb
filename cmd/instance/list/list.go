// Package list implements the instance list command, which prints the listed instances.
package list

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
)

// Options are the options of the instance list command.
type Options struct {
	access.ListOptions
}

// NewCommand returns the instance list command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{access.ListOptions{Streams: s}}
	return &cli.Command{
		Name:  "list",
		Usage: "print the listed instances and the document revision of each",
		Description: "The instance queries the others. A dash means that an instance did not answer within one second.\n\n" +
			"Example:\n\n   rhubarbwick instance list",
		Flags:  opts.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	instances, err := opts.Access.Client().Instances(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(instances))
	for _, i := range instances {
		rows = append(rows, row(i))
	}
	return opts.Print(instances, []string{"INSTANCE", "ADDRESS", "DATA CENTRE", "STATE", "REVISION", "AGE MS"}, rows)
}

func row(i *operatorv1.Instance) []string {
	revision := access.FormatNumber(i.Revision)
	if !i.GetAsked() {
		revision = "not asked"
	}
	return []string{i.GetId(), i.GetAddress(), i.GetDataCentre(), i.GetState(), revision, access.FormatNumber(i.AgeMs)}
}
