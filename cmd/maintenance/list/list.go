// Package list implements the maintenance list command, which prints the data centres in maintenance.
package list

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/maintenance"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
)

// Options are the options of the maintenance list command.
type Options struct {
	Streams streams.Streams
	Address string
	JSON    bool
}

// entry is a data centre in the JSON output.
type entry struct {
	maintenance.DataCentre
	Since time.Time `json:"since"`
}

// NewCommand returns the maintenance list command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "list",
		Usage: "print the data centres in maintenance and their progress as one instance sees them",
		Description: "GROUPS are the groups whose primary is still in the data centre. RUNNING counts the statements and open " +
			"transactions of the instance at servers there.\n\nExample:\n\n   rhubarbwick maintenance list --address 10.1.0.26:7575",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "address", Usage: "the `HOST:PORT` that serves the metrics of any instance", Required: true, Destination: &opts.Address,
			},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &opts.JSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	list, err := maintenance.List(ctx, opts.Address)
	if err != nil {
		return err
	}
	now := time.Now()
	entries, rows := make([]entry, 0, len(list)), make([][]string, 0, len(list))
	for _, d := range list {
		since := now.Add(-time.Duration(d.ElapsedMS) * time.Millisecond).UTC().Truncate(time.Second)
		entries = append(entries, entry{DataCentre: d, Since: since})
		rows = append(rows, row(d, since))
	}
	if opts.JSON {
		return opts.Streams.JSON(entries)
	}
	return opts.Streams.Table([]string{"DATA CENTRE", "SINCE", "STATE", "GROUPS", "RUNNING"}, rows)
}

func row(d maintenance.DataCentre, since time.Time) []string {
	groups := strings.Join(d.Groups, ",")
	if groups == "" {
		groups = "-"
	}
	return []string{d.Name, since.Format(time.RFC3339), state(d), groups, strconv.Itoa(d.Running)}
}

func state(d maintenance.DataCentre) string {
	switch {
	case !d.Known:
		return "unknown"
	case len(d.Groups) > 0 || d.Running > 0:
		return "in use"
	default:
		return "unused"
	}
}
