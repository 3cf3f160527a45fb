// Package access contains the flags and the output that commands which call an instance share.
package access

import (
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// Options identify the instance that a command calls.
type Options struct {
	Instance string
	Password string
}

// Flags returns the flags that set the options.
func (o *Options) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "instance",
			Usage:       "the `URL` of the admin listener of any instance",
			Value:       "http://127.0.0.1:6434",
			Sources:     cli.EnvVars("RHUBARBWICK_INSTANCE"),
			Destination: &o.Instance,
		},
		&cli.StringFlag{
			Name:        "password",
			Usage:       "the operators' password; RHUBARBWICK_PASSWORD keeps it out of the process list",
			Sources:     cli.EnvVars("RHUBARBWICK_PASSWORD"),
			Destination: &o.Password,
		},
	}
}

// Client returns a client of the instance.
func (o *Options) Client() *operator.Client { return operator.NewClient(o.Instance, o.Password) }

// ListOptions are the options of a command that prints a list.
type ListOptions struct {
	Streams streams.Streams
	Access  Options
	JSON    bool
}

// Flags returns the flags that set the options, with the extra flags of the command.
func (o *ListOptions) Flags(extra ...cli.Flag) []cli.Flag {
	flags := append(o.Access.Flags(), extra...)
	return append(flags, &cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON})
}

// Print prints the list as JSON if requested, and the rows as a table otherwise.
func (o *ListOptions) Print(list any, heading []string, rows [][]string) error {
	if o.JSON {
		return o.Streams.JSON(list)
	}
	return o.Streams.Table(heading, rows)
}

// FormatNumber returns a number for a table, or a dash if it is unknown.
func FormatNumber(n *uint64) string {
	if n == nil {
		return "-"
	}
	return strconv.FormatUint(*n, 10)
}

// EditOptions are the options of a command that edits the document.
type EditOptions struct {
	Streams streams.Streams
	Access  Options
	Author  string
}

// Flags returns the flags that set the options, with the extra flags of the command.
func (o *EditOptions) Flags(extra ...cli.Flag) []cli.Flag {
	flags := append(o.Access.Flags(), extra...)
	return append(flags,
		&cli.StringFlag{Name: "author", Usage: "the author of the change in the audit trail", Value: "operator", Destination: &o.Author})
}

// PrintRevision prints the revision that the edit created.
func (o *EditOptions) PrintRevision(r document.Revision) error {
	_, err := fmt.Fprintf(o.Streams.Out, "revision\t%d\n", r)
	return err
}
