// Package show implements the group show command, which prints the servers of a database group.
package show

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
)

// Options are the options of the group show command.
type Options struct {
	access.ListOptions
	Name string
}

// NewCommand returns the group show command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{ListOptions: access.ListOptions{Streams: s}}
	return &cli.Command{
		Name:  "show",
		Usage: "print a group's servers with role, term, position, lag and age as the instance sees them",
		Description: "The lag is the number of log entries behind the primary, the age is in milliseconds. A dash means that\n" +
			"the value is unknown. An instance that does not monitor the group queries its servers first.\n\n" +
			"Example:\n\n   rhubarbwick group show --name formula-core-1",
		Flags: opts.Flags(
			&cli.StringFlag{Name: "name", Usage: "the group's `NAME`", Required: true, Destination: &opts.Name}),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	groups, err := opts.Access.Client().Groups(ctx, opts.Name)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, g := range groups {
		for _, s := range g.GetServers() {
			rows = append(rows, row(s))
		}
	}
	return opts.Print(groups, []string{"SERVER", "ADDRESS", "DATA CENTRE", "ROLE", "TERM", "POSITION", "LAG", "AGE MS", "SEEN MS", "STATE"}, rows)
}

func row(s *operatorv1.GroupServer) []string {
	role, term, position := "-", "-", "-"
	if s.SeenMs != nil {
		role, term, position = s.GetRole(), strconv.FormatUint(s.GetTerm(), 10), s.GetPosition()
	}
	state := "live"
	if s.GetDeparting() {
		state = "departing"
	}
	return []string{
		s.GetName(), s.GetAddress(), s.GetDataCentre(), role, term, position,
		access.FormatNumber(s.LagEntries), access.FormatNumber(s.AgeMs), access.FormatNumber(s.SeenMs), state,
	}
}
