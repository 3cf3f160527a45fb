// Package list implements the organisation list command, which prints the organisations.
package list

import (
	"context"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/access"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// Options are the options of the organisation list command.
type Options struct {
	access.ListOptions
}

// NewCommand returns the organisation list command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{access.ListOptions{Streams: s}}
	return &cli.Command{
		Name:        "list",
		Usage:       "print the organisations with their rates and the names of their keys",
		Description: "Example:\n\n   rhubarbwick organisation list",
		Flags:       opts.Flags(),
		Action:      func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// organisationJSON is the JSON form of an organisation, without key hashes.
type organisationJSON struct {
	Name  string   `json:"name"`
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst"`
	Keys  []string `json:"keys"`
}

func run(ctx context.Context, opts *Options) error {
	d, err := opts.Access.Client().Document(ctx)
	if err != nil {
		return err
	}
	list := make([]organisationJSON, 0, len(d.Organisations))
	rows := make([][]string, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		list = append(list, organisationJSON{o.Name, o.Rate, o.Burst, keyIDs(o)})
		rows = append(rows, []string{o.Name, formatNumber(o.Rate), formatNumber(o.Burst), strings.Join(keyIDs(o), " ")})
	}
	return opts.Print(list, []string{"ORGANISATION", "RATE", "BURST", "KEYS"}, rows)
}

func keyIDs(o document.Organisation) []string {
	ids := make([]string, 0, len(o.Keys))
	for _, k := range o.Keys {
		ids = append(ids, k.ID)
	}
	return ids
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
