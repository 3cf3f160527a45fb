// Package explain implements the request explain command, which prints the log lines of all instances that explain the
// outcome of one request.
package explain

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Options are the options of the request explain command.
type Options struct {
	Streams streams.Streams
	ID      string
	Files   []string
	Margin  time.Duration
}

// NewCommand returns the request explain command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the outcome of a request from the logs of the instances",
		ArgsUsage: "ID [FILE...]",
		Description: "Without a file the logs are read from standard input. The output contains the lines of the request, and the " +
			"lines about its group and its instance around that time.\n\n" +
			"Example:\n\n   rhubarbwick request explain 8c4b6828bb687389 gateway-*.log",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "around", Value: 5 * time.Second, Usage: "the `TIME` before and after the request to include", Destination: &opts.Margin},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			opts.ID, opts.Files = c.Args().First(), c.Args().Tail()
			return run(opts)
		},
	}
}

// logLine contains the fields of a log line that the command uses.
type logLine struct {
	At           time.Time `json:"ts"`
	Message      string    `json:"msg"`
	Instance     string    `json:"instance"`
	Request      string    `json:"request"`
	Result       string    `json:"result"`
	Reason       string    `json:"reason"`
	Organisation string    `json:"organisation"`
	Group        string    `json:"group"`
	Server       string    `json:"server"`
	PoolOwner    string    `json:"owner"`
	Primary      string    `json:"primary"`
	Attempts     int       `json:"tries"`
	Duration     float64   `json:"took"`
	Term         uint64    `json:"term"`
	Epoch        uint64    `json:"epoch"`
	Replacing    bool      `json:"replacing"`
	PrimaryAge   float64   `json:"primary_age"`
	DocumentAge  float64   `json:"document_age"`
	Revision     uint64    `json:"revision"`
}

func run(opts *Options) error {
	if opts.ID == "" {
		return port.Errorf(port.Invalid, "a request ID is required")
	}
	lines, err := readLogs(opts)
	if err != nil {
		return err
	}
	related := relatedLines(lines, opts.ID, opts.Margin)
	if len(related) == 0 {
		return port.Errorf(port.NotFound, "no log line of request %s was found; only a sample of the successful requests is logged", opts.ID)
	}
	rows := make([][]string, 0, len(related))
	for _, l := range related {
		rows = append(rows, []string{l.At.Format("15:04:05.000"), l.Instance, l.Message, l.details()})
	}
	return opts.Streams.Table([]string{"TIME", "INSTANCE", "EVENT", "DETAILS"}, rows)
}

func readLogs(opts *Options) ([]logLine, error) {
	if len(opts.Files) == 0 {
		return parseLog(opts.Streams.In)
	}
	var lines []logLine
	for _, name := range opts.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, port.Wrapf(err, port.Invalid, "cannot open the log")
		}
		more, err := parseLog(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// parseLog returns the log lines. Text before the JSON object of a line and lines without one are ignored.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) == nil && !l.At.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, port.Wrapf(scanner.Err(), port.Invalid, "cannot read the log")
}

// relatedLines returns the lines of the request in the order of time, and the lines about its group or its instance
// within margin of them.
func relatedLines(lines []logLine, id string, margin time.Duration) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	first, last := requestLines[0].At.Add(-margin), requestLines[len(requestLines)-1].At.Add(margin)
	return slices.DeleteFunc(lines, func(l logLine) bool {
		if l.Request != "" {
			return l.Request != id
		}
		related := l.Group == requestLines[0].Group || (l.Group == "" && l.Instance == requestLines[0].Instance)
		return !related || l.At.Before(first) || l.At.After(last)
	})
}

// details returns the inputs and the outcome of the logged decision.
func (l logLine) details() string {
	switch {
	case l.Request != "":
		text := fmt.Sprintf("%s after %.3f s", l.Result, l.Duration)
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		if l.PoolOwner != "" {
			text += ", through " + l.PoolOwner
		}
		return text + fmt.Sprintf("; organisation %s, server %q, tries %d, primary known %.1f s ago, document %d known %.1f s ago",
			l.Organisation, l.Server, l.Attempts, l.PrimaryAge, l.Revision, l.DocumentAge)
	case l.Primary != "":
		return fmt.Sprintf("primary %s, term %d, replacing %t", l.Primary, l.Term, l.Replacing)
	case l.Epoch != 0:
		return strings.TrimSuffix(fmt.Sprintf("server %s, epoch %d, %s", l.Server, l.Epoch, l.Reason), ", ")
	default:
		return l.Reason
	}
}
