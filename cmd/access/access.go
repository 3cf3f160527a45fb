// Package access holds what the commands that ask an instance have in common: flags and output.
package access

import (
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// Options say which instance a command asks.
type Options struct {
	Instance string
	Password string
}

// Flags returns the flags that fill the options.
func (o *Options) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "instance",
			Usage:       "the operators' `URL` of any instance",
			Value:       "http://127.0.0.1:6434",
			Sources:     cli.EnvVars("RHUBARBWICK_INSTANCE"),
			Destination: &o.Instance,
		},
		&cli.StringFlag{
			Name:        "password",
			Usage:       "the operators' password; better set RHUBARBWICK_PASSWORD",
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

// Flags returns the flags that fill the options, followed by the command's own.
func (o *ListOptions) Flags(own ...cli.Flag) []cli.Flag {
	flags := append(o.Access.Flags(), own...)
	return append(flags, &cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON})
}

// Print prints the list as JSON when that is asked for, and the rows as a table otherwise.
func (o *ListOptions) Print(list any, heading []string, rows [][]string) error {
	if o.JSON {
		return o.Streams.JSON(list)
	}
	return o.Streams.Table(heading, rows)
}

// Cell returns the text of a number in a table; a dash stands for an unknown one.
func Cell(n *uint64) string {
	if n == nil {
		return "-"
	}
	return strconv.FormatUint(*n, 10)
}

// EditOptions are the options of a command that changes the document.
type EditOptions struct {
	Streams streams.Streams
	Access  Options
	Author  string
}

// Flags returns the flags that fill the options, with the command's own before the author.
func (o *EditOptions) Flags(own ...cli.Flag) []cli.Flag {
	flags := append(o.Access.Flags(), own...)
	return append(flags,
		&cli.StringFlag{Name: "author", Usage: "the name for the audit trail", Value: "operator", Destination: &o.Author})
}

// PrintRevision prints the revision that the change made.
func (o *EditOptions) PrintRevision(r document.Revision) error {
	_, err := fmt.Fprintf(o.Streams.Out, "revision\t%d\n", r)
	return err
}
