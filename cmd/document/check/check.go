// Package check checks a document without an instance.
package check

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Options are the options of the document check command.
type Options struct {
	Streams streams.Streams
	Path    string
	JSON    bool
}

// NewCommand returns the document check command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:        "check",
		Usage:       "check a document and print every fault; no instance is asked",
		Description: "Example:\n\n   rhubarbwick document check --file document.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "the JSON `FILE`; - is standard input", Required: true, Destination: &opts.Path},
			&cli.BoolFlag{Name: "json", Usage: "print the faults as JSON", Destination: &opts.JSON},
		},
		Action: func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	data, err := read(opts)
	if err != nil {
		return port.Wrapf(err, port.Invalid, "the document cannot be read")
	}
	_, faults := document.Parse(data)
	if err := printFaults(opts, faults); err != nil {
		return err
	}
	if len(faults) > 0 {
		return port.Errorf(port.Invalid, "%s has %d faults", opts.Path, len(faults))
	}
	return nil
}

func read(opts *Options) ([]byte, error) {
	if opts.Path == "-" {
		return io.ReadAll(io.LimitReader(opts.Streams.In, document.MaxSize+1))
	}
	return os.ReadFile(opts.Path)
}

// fault is the JSON of a fault.
type fault struct {
	Path    string `json:"path"`
	Given   string `json:"given"`
	Allowed string `json:"allowed"`
}

func printFaults(opts *Options, faults []document.Violation) error {
	if opts.JSON {
		list := make([]fault, 0, len(faults))
		for _, f := range faults {
			list = append(list, fault{f.Path, f.Value, f.Allowed})
		}
		return opts.Streams.JSON(list)
	}
	if len(faults) == 0 {
		_, err := fmt.Fprintln(opts.Streams.Out, "document: no fault")
		return err
	}
	rows := make([][]string, 0, len(faults))
	for _, f := range faults {
		rows = append(rows, []string{f.Path, f.Value, f.Allowed})
	}
	return opts.Streams.Table([]string{"FIELD", "GIVEN", "ALLOWED"}, rows)
}
