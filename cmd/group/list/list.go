// Package list implements the group list command, which prints the database groups.
package list

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
)

// Options are the options of the group list command.
type Options struct {
	access.ListOptions
}

// NewCommand returns the group list command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{access.ListOptions{Streams: s}}
	return &cli.Command{
		Name:  "list",
		Usage: "print the groups with their primary and term as the instance sees them",
		Description: "An instance knows only the state of the groups that it monitors, or uses for its clients; a dash means that\n" +
			"the state is unknown.\n\n" +
			"Example:\n\n   rhubarbwick group list",
		Flags:  opts.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	groups, err := opts.Access.Client().Groups(ctx, "")
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(groups))
	for _, g := range groups {
		rows = append(rows, row(g))
	}
	return opts.Print(groups, []string{"GROUP", "PRIMARY", "TERM", "SERVERS", "ANSWERED"}, rows)
}

func row(g *operatorv1.Group) []string {
	answered := 0
	for _, s := range g.GetServers() {
		if s.SeenMs != nil {
			answered++
		}
	}
	cells := []string{g.GetName(), "-", "-", strconv.Itoa(len(g.GetServers())), "-"}
	if g.GetMonitored() {
		cells[2] = strconv.FormatUint(g.GetTerm(), 10)
		cells[4] = strconv.Itoa(answered)
	}
	if g.GetPrimary() != "" {
		cells[1] = g.GetPrimary()
	}
	return cells
}
