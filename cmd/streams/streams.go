// Package streams contains the standard streams of a command and prints tables and JSON to them.
package streams

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
}

// System returns the streams of the process.
func System() Streams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
}

// Table prints rows with aligned columns and a heading if the output is a terminal, and tab-separated without a heading
// otherwise.
func (s Streams) Table(heading []string, rows [][]string) error {
	if !s.Terminal {
		return writeRows(s.Out, rows)
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	if err := writeRows(w, append([][]string{heading}, rows...)); err != nil {
		return err
	}
	return w.Flush()
}

// JSON prints v as indented JSON.
func (s Streams) JSON(v any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func writeRows(w io.Writer, rows [][]string) error {
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return nil
}
