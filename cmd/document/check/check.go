// Package check implements the document check command, which checks a document without an instance.
package check

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// The formats of a configuration.
const (
	formatDocument = "document"
	formatPlatform = "platform"
)

// Options are the options of the document check command.
type Options struct {
	Streams streams.Streams
	Path    string
	Against string
	Format  string
	JSON    bool
	Strict  bool
	// The following state what is known about the deployment; zero is unknown.
	Instances      int
	Servers        int
	Slots          int
	StatementMS    float64
	ReplicaDelayMS float64
}

// NewCommand returns the document check command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:  "check",
		Usage: "check a document locally and print everything that is wrong with it",
		Description: "Errors make the document or an entry unusable. Warnings are about entries without effect and limits that contradict each other; " +
			"some need to know the deployment, which the options describe.\n\n" +
			"Examples:\n\n   rhubarbwick document check --file document.json --against current.json\n" +
			"   rhubarbwick document check --file main.json --format platform --instances 23 --servers 3 --slots 4 --statement-ms 7.6",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "the JSON `FILE`; - is standard input", Required: true, Destination: &opts.Path},
			&cli.StringFlag{Name: "against", Usage: "the `FILE` with the version in force; prints what differs, with the effect on open sessions", Destination: &opts.Against},
			&cli.StringFlag{Name: "format", Usage: "document, or platform for the platform's configuration", Value: formatDocument, Destination: &opts.Format},
			&cli.IntFlag{Name: "instances", Usage: "the number of instances", Destination: &opts.Instances},
			&cli.IntFlag{Name: "servers", Usage: "the number of servers of each group that lists none", Destination: &opts.Servers},
			&cli.IntFlag{Name: "slots", Usage: "how many statements a server runs at once", Destination: &opts.Slots},
			&cli.FloatFlag{Name: "statement-ms", Usage: "the mean time of a statement; 1 if unknown", Destination: &opts.StatementMS},
			&cli.FloatFlag{Name: "replica-delay-ms", Usage: "how far replicas are behind; 20 if unknown", Destination: &opts.ReplicaDelayMS},
			&cli.BoolFlag{Name: "strict", Usage: "fail on warnings too", Destination: &opts.Strict},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Destination: &opts.JSON},
		},
		Action: func(context.Context, *cli.Command) error { return run(opts) },
	}
}

func run(opts *Options) error {
	if opts.Format != formatDocument && opts.Format != formatPlatform {
		return port.Errorf(port.Invalid, "--format is %q; allowed: %s or %s", opts.Format, formatDocument, formatPlatform)
	}
	next, findings, err := inspect(opts, opts.Path)
	if err != nil {
		return err
	}
	var impacts []document.Impact
	if opts.Against != "" {
		old, oldFindings, err := inspect(opts, opts.Against)
		if err != nil {
			return err
		}
		if n := count(oldFindings, document.RuleInvalid); n > 0 {
			return port.Errorf(port.Invalid, "%s has %d errors and cannot be compared", opts.Against, n)
		}
		impacts = opts.impacts(old, next)
	}
	if err := printResult(opts, findings, impacts); err != nil {
		return err
	}
	failing := 0
	for _, f := range findings {
		if f.Severity == document.SeverityError || opts.Strict {
			failing++
		}
	}
	if failing > 0 {
		return port.Errorf(port.Invalid, "%s has %d errors", opts.Path, failing)
	}
	return nil
}

func count(findings []document.Finding, rule document.Rule) int {
	n := 0
	for _, f := range findings {
		if f.Rule == rule {
			n++
		}
	}
	return n
}

// facts returns what the options state about the deployment.
func (o *Options) facts() document.Facts {
	return document.Facts{
		Instances: o.Instances, ServersPerGroup: o.Servers, Slots: o.Slots, RunTime: time.Duration(o.StatementMS * float64(time.Millisecond)),
		ReplicaDelay: time.Duration(o.ReplicaDelayMS * float64(time.Millisecond)),
	}
}

func (o *Options) impacts(old, next document.Document) []document.Impact {
	if o.Format == formatPlatform {
		return platform.ImpactsWithPlatformNames(old, next)
	}
	return document.Impacts(old, next)
}

// inspect reads and checks the file at the path.
func inspect(opts *Options, path string) (document.Document, []document.Finding, error) {
	data, err := read(opts, path)
	if err != nil {
		return document.Document{}, nil, port.Wrapf(err, port.Invalid, "cannot read the document")
	}
	if opts.Format == formatPlatform {
		d, findings := platform.InspectConfiguration(data, opts.facts())
		return d, findings, nil
	}
	d, findings := document.Inspect(data, opts.facts())
	return d, findings, nil
}

func read(opts *Options, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(opts.Streams.In, document.MaxSize+1))
	}
	return os.ReadFile(path)
}
