// Package explain tells the story of one request from the logs of all instances.
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

// maxLine is the greatest length of a log line that is read.
const maxLine = 1 << 20

// Options are the options of the request explain command.
type Options struct {
	Streams streams.Streams
	ID      string
	Files   []string
	Around  time.Duration
}

// NewCommand returns the request explain command.
func NewCommand(s streams.Streams) *cli.Command {
	opts := &Options{Streams: s}
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell what became of a request, from the logs of the instances",
		ArgsUsage: "ID [FILE...]",
		Description: "Without a file the logs are read from standard input. Besides the lines of the request, those are shown " +
			"that tell of its group and of the instances that saw it at that time.\n\n" +
			"Example:\n\n   rhubarbwick request explain 8c4b6828bb687389 gateway-*.log",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "around", Value: 5 * time.Second, Usage: "the `TIME` before and after the request", Destination: &opts.Around},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			opts.ID, opts.Files = c.Args().First(), c.Args().Tail()
			return run(opts)
		},
	}
}

// line is a log line, as far as the story needs it.
type line struct {
	At           time.Time `json:"ts"`
	Message      string    `json:"msg"`
	Instance     string    `json:"instance"`
	Request      string    `json:"request"`
	Result       string    `json:"result"`
	Reason       string    `json:"reason"`
	Organisation string    `json:"organisation"`
	Group        string    `json:"group"`
	Server       string    `json:"server"`
	Owner        string    `json:"owner"`
	Primary      string    `json:"primary"`
	Tries        int       `json:"tries"`
	Took         float64   `json:"took"`
	Term         uint64    `json:"term"`
	Epoch        uint64    `json:"epoch"`
	Replacing    bool      `json:"replacing"`
	PrimaryAge   float64   `json:"primary_age"`
	DocumentAge  float64   `json:"document_age"`
	Revision     uint64    `json:"revision"`
}

func run(opts *Options) error {
	if opts.ID == "" {
		return port.Errorf(port.Invalid, "an ID has to be given")
	}
	lines, err := readAll(opts)
	if err != nil {
		return err
	}
	story := storyOf(lines, opts.ID, opts.Around)
	if len(story) == 0 {
		return port.Errorf(port.NotFound, "no line tells of request %s; successes are sampled", opts.ID)
	}
	rows := make([][]string, 0, len(story))
	for _, l := range story {
		rows = append(rows, []string{l.At.Format("15:04:05.000"), l.Instance, l.Message, l.details()})
	}
	return opts.Streams.Table([]string{"TIME", "INSTANCE", "EVENT", "DETAILS"}, rows)
}

func readAll(opts *Options) ([]line, error) {
	if len(opts.Files) == 0 {
		return read(opts.Streams.In)
	}
	var lines []line
	for _, name := range opts.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, port.Wrapf(err, port.Invalid, "a log cannot be read")
		}
		more, err := read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// read returns the log lines. Other text, also in front of a line, is passed over.
func read(r io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal([]byte(text[start:]), &l) == nil && !l.At.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, port.Wrapf(scanner.Err(), port.Invalid, "a log cannot be read")
}

// storyOf returns the lines of the request in order, with what the instances came to believe about its group around it.
func storyOf(lines []line, id string, around time.Duration) []line {
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	var own []line
	for _, l := range lines {
		if l.Request == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := own[0].At.Add(-around), own[len(own)-1].At.Add(around)
	return slices.DeleteFunc(lines, func(l line) bool {
		if l.Request != "" {
			return l.Request != id
		}
		concerns := l.Group == own[0].Group || (l.Group == "" && l.Instance == own[0].Instance)
		return !concerns || l.At.Before(first) || l.At.After(last)
	})
}

// details tells the inputs and the outcome of a decision.
func (l line) details() string {
	switch {
	case l.Request != "":
		text := fmt.Sprintf("%s after %.3f s", l.Result, l.Took)
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		if l.Owner != "" {
			text += ", through " + l.Owner
		}
		return text + fmt.Sprintf("; organisation %s, server %q, tries %d, primary known %.1f s ago, document %d known %.1f s ago",
			l.Organisation, l.Server, l.Tries, l.PrimaryAge, l.Revision, l.DocumentAge)
	case l.Primary != "":
		return fmt.Sprintf("primary %s, term %d, replacing %t", l.Primary, l.Term, l.Replacing)
	case l.Epoch != 0:
		return strings.TrimSuffix(fmt.Sprintf("server %s, epoch %d, %s", l.Server, l.Epoch, l.Reason), ", ")
	default:
		return l.Reason
	}
}
