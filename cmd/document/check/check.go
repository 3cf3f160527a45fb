// Package check implements the document check command, which validates a document without an instance.
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
		Usage:       "validate a document locally and print all errors",
		Description: "Example:\n\n   rhubarbwick document check --file document.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "the JSON `FILE`; - is standard input", Required: true, Destination: &opts.Path},
			&cli.BoolFlag{Name: "json", Usage: "print the errors as JSON", Destination: &opts.JSON},
		},
		Action: func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	data, err := readDocument(opts)
	if err != nil {
		return port.Wrapf(err, port.Invalid, "cannot read the document")
	}
	_, violations := document.Parse(data)
	if err := printViolations(opts, violations); err != nil {
		return err
	}
	if len(violations) > 0 {
		return port.Errorf(port.Invalid, "%s has %d errors", opts.Path, len(violations))
	}
	return nil
}

func readDocument(opts *Options) ([]byte, error) {
	if opts.Path == "-" {
		return io.ReadAll(io.LimitReader(opts.Streams.In, document.MaxSize+1))
	}
	return os.ReadFile(opts.Path)
}

// violationJSON is the JSON form of a document.Violation.
type violationJSON struct {
	Path    string `json:"path"`
	Value   string `json:"given"`
	Allowed string `json:"allowed"`
}

func printViolations(opts *Options, violations []document.Violation) error {
	if opts.JSON {
		list := make([]violationJSON, 0, len(violations))
		for _, f := range violations {
			list = append(list, violationJSON{f.Path, f.Value, f.Allowed})
		}
		return opts.Streams.JSON(list)
	}
	if len(violations) == 0 {
		_, err := fmt.Fprintln(opts.Streams.Out, "document: no fault")
		return err
	}
	rows := make([][]string, 0, len(violations))
	for _, f := range violations {
		rows = append(rows, []string{f.Path, f.Value, f.Allowed})
	}
	return opts.Streams.Table([]string{"FIELD", "GIVEN", "ALLOWED"}, rows)
}
