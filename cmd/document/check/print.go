package check

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// findingJSON is the JSON form of a document.Finding.
type findingJSON struct {
	Path     string `json:"path"`
	Value    string `json:"given"`
	Allowed  string `json:"allowed"`
	Severity string `json:"severity"`
	Rule     string `json:"rule"`
	Section  string `json:"section"`
	Key      string `json:"key"`
}

// impactJSON is the JSON form of a document.Impact.
type impactJSON struct {
	Kind    string `json:"kind"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"before"`
	After   string `json:"after"`
	Effect  string `json:"effect"`
}

// comparisonJSON is the JSON form of the result with --against. Without it, the result is the list of findings.
type comparisonJSON struct {
	Findings []findingJSON `json:"findings"`
	Changes  []impactJSON  `json:"changes"`
}

func printResult(opts *Options, findings []document.Finding, impacts []document.Impact) error {
	if opts.JSON {
		return printJSON(opts, findings, impacts)
	}
	if err := printFindings(opts, findings); err != nil || opts.Against == "" {
		return err
	}
	return printImpacts(opts, impacts)
}

func printJSON(opts *Options, findings []document.Finding, impacts []document.Impact) error {
	list := make([]findingJSON, 0, len(findings))
	for _, f := range findings {
		list = append(list, findingJSON{
			Path: f.Field, Value: f.Value, Allowed: f.Correct, Severity: string(f.Severity), Rule: string(f.Rule), Section: f.Section, Key: f.Key,
		})
	}
	if opts.Against == "" {
		return opts.Streams.JSON(list)
	}
	changes := make([]impactJSON, 0, len(impacts))
	for _, c := range impacts {
		changes = append(changes, impactJSON{
			Kind: string(c.Kind), Section: c.Section, Key: c.Key, Before: c.Before, After: c.After, Effect: c.Effect,
		})
	}
	return opts.Streams.JSON(comparisonJSON{Findings: list, Changes: changes})
}

func printFindings(opts *Options, findings []document.Finding) error {
	if len(findings) == 0 {
		_, err := fmt.Fprintln(opts.Streams.Out, "document: no fault")
		return err
	}
	rows := make([][]string, 0, len(findings))
	for _, f := range findings {
		rows = append(rows, []string{string(f.Severity), string(f.Rule), f.Section, f.Key, f.Value, f.Correct})
	}
	return opts.Streams.Table([]string{"SEVERITY", "RULE", "SECTION", "KEY", "GIVEN", "CORRECT"}, rows)
}

func printImpacts(opts *Options, impacts []document.Impact) error {
	if len(impacts) == 0 {
		_, err := fmt.Fprintln(opts.Streams.Out, "document: no change")
		return err
	}
	rows := make([][]string, 0, len(impacts))
	for _, c := range impacts {
		rows = append(rows, []string{string(c.Kind), c.Section, c.Key, c.Before, c.After, c.Effect})
	}
	return opts.Streams.Table([]string{"CHANGE", "SECTION", "KEY", "BEFORE", "AFTER", "EFFECT ON OPEN SESSIONS"}, rows)
}
