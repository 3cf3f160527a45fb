package server

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// pattern is the syntax of a kind of statement. In the text of a pattern, %V matches a literal or a parameter.
type pattern struct {
	expression *regexp.Regexp
	columns    []string
	build      func(operands []string) (Statement, error)
}

var operandPattern = `\s*('(?:[^']|'')*'|\$\d+|-?\d+(?:\.\d+)?|true|false)(?:::\w+)?\s*`

func compilePattern(text string) *regexp.Regexp {
	text = strings.ReplaceAll(text, " ", `\s+`)
	return regexp.MustCompile(`(?is)^` + strings.ReplaceAll(text, "%V", operandPattern) + `$`)
}

var patterns = []pattern{
	{compilePattern(`(?:begin|start transaction)(.*)`), nil, buildBegin},
	{compilePattern(`(?:commit|end)(?: work| transaction)?`), nil, func([]string) (Statement, error) { return Commit{}, nil }},
	{compilePattern(`(?:rollback|abort)(?: work| transaction)?`), nil, func([]string) (Statement, error) { return Rollback{}, nil }},
	{compilePattern(`select value from kv where key\s*=%V`), []string{"value"}, buildSelect},
	{compilePattern(`insert into kv\s*\(\s*key\s*,\s*value\s*\)\s*values\s*\(%V,%V\)`), nil, buildUpsert},
	{compilePattern(`update kv set value\s*=\s*value\s*\+\s*1 where key\s*=%V`), nil, buildAdd},
	{compilePattern(`delete from kv where key\s*=%V`), nil, buildDelete},
	{compilePattern(`select pg_sleep\s*\(%V\)`), []string{"pg_sleep"}, buildSleep},
	{compilePattern(`select 1`), []string{"?column?"}, func([]string) (Statement, error) { return SelectOne{}, nil }},
	{compilePattern(`select generate_series\s*\(%V,%V\)`), []string{"generate_series"}, buildSeries},
	{compilePattern(`set (?:session |local )?([\w.]+)\s*(?:=| to )\s*(.+?)`), nil, buildSet},
	{compilePattern(`show ([\w.]+)`), []string{"setting"}, buildShow},
	{compilePattern(`select rhubarbwick_status\s*\(%V,%V\)`), statusColumns, buildStatus},
	{compilePattern(`select rhubarbwick_fence\s*\(%V,%V\)`), statusColumns, buildFence},
	{compilePattern(`select rhubarbwick_promote\s*\(%V,%V\)`), statusColumns, buildPromote},
	{compilePattern(`select rhubarbwick_follow\s*\(%V,%V\)`), statusColumns, buildFollow},
	{compilePattern(`select rhubarbwick_bind\s*\(%V,%V,%V\)`), []string{"rhubarbwick_bind"}, buildBind},
	{compilePattern(`select rhubarbwick_release\s*\(%V\)`), []string{"rhubarbwick_release"}, buildRelease},
}

// Prepared is a parsed statement without parameter values. It is immutable.
type Prepared struct {
	pattern    pattern
	operands   []string
	parameters int
}

// Parse parses a single statement.
func Parse(sql string) (Prepared, error) {
	sql = strings.TrimSpace(sql)
	if sql == "" {
		return Prepared{pattern: pattern{build: func([]string) (Statement, error) { return Empty{}, nil }}}, nil
	}
	for _, p := range patterns {
		match := p.expression.FindStringSubmatch(sql)
		if match == nil {
			continue
		}
		prepared := Prepared{pattern: p, operands: match[1:]}
		for _, operand := range prepared.operands {
			prepared.parameters = max(prepared.parameters, parameterNumber(operand))
		}
		return prepared, nil
	}
	return Prepared{}, errorf(codeSyntaxError, "the stand-in does not support the statement: %.80q", sql)
}

// Columns returns the column names of the result, or nil if the statement returns no rows.
func (p Prepared) Columns() []string { return p.pattern.columns }

// Parameters returns the number of parameters.
func (p Prepared) Parameters() int { return p.parameters }

// Bind returns the statement with the given parameter values.
func (p Prepared) Bind(arguments []string) (Statement, error) {
	if len(arguments) != p.parameters {
		return nil, errorf(codeProtocolViolation, "statement has %d parameters, %d were given", p.parameters, len(arguments))
	}
	operands := make([]string, len(p.operands))
	for i, operand := range p.operands {
		operands[i] = unquote(operand)
		if n := parameterNumber(operand); n > 0 {
			operands[i] = arguments[n-1]
		}
	}
	return p.pattern.build(operands)
}

// Split splits a query into statements at semicolons outside quotes, and removes comments.
func Split(sql string) []string {
	var parts []string
	var part strings.Builder
	quoted := false
	for i := 0; i < len(sql); i++ {
		switch {
		case !quoted && strings.HasPrefix(sql[i:], "--"):
			for i+1 < len(sql) && sql[i+1] != '\n' {
				i++
			}
			continue
		case !quoted && sql[i] == ';':
			parts = append(parts, part.String())
			part.Reset()
			continue
		case sql[i] == '\'':
			quoted = !quoted
		}
		part.WriteByte(sql[i])
	}
	parts = append(parts, part.String())
	return nonEmpty(parts)
}

// nonEmpty removes empty statements. If all are empty, it returns a single empty statement.
func nonEmpty(parts []string) []string {
	var kept []string
	for _, part := range parts {
		if strings.TrimSpace(part) != "" {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return []string{""}
	}
	return kept
}

func parameterNumber(operand string) int {
	text, ok := strings.CutPrefix(operand, "$")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func unquote(operand string) string {
	if len(operand) < 2 || operand[0] != '\'' || operand[len(operand)-1] != '\'' {
		return operand
	}
	return strings.ReplaceAll(operand[1:len(operand)-1], "''", "'")
}

func buildBegin(operands []string) (Statement, error) {
	options := strings.Join(strings.Fields(strings.ToLower(operands[0])), " ")
	return Begin{ReadOnly: strings.Contains(options, "read only")}, nil
}

func buildSelect(operands []string) (Statement, error) { return Select{Key: operands[0]}, nil }

func buildUpsert(operands []string) (Statement, error) {
	return Upsert{Key: operands[0], Value: operands[1]}, nil
}

func buildAdd(operands []string) (Statement, error) { return Add{Key: operands[0]}, nil }

func buildDelete(operands []string) (Statement, error) { return Delete{Key: operands[0]}, nil }

func buildSleep(operands []string) (Statement, error) {
	seconds, err := strconv.ParseFloat(operands[0], 64)
	if err != nil || seconds < 0 {
		return nil, errorf(codeInvalidTextRepresentation, "sleep time %q is not a number of seconds", operands[0])
	}
	return Sleep{Duration: time.Duration(seconds * float64(time.Second))}, nil
}

func buildSeries(operands []string) (Statement, error) {
	first, err := strconv.Atoi(operands[0])
	if err != nil {
		return nil, errorf(codeInvalidTextRepresentation, "series starts with %q, which is not an integer", operands[0])
	}
	last, err := strconv.Atoi(operands[1])
	if err != nil {
		return nil, errorf(codeInvalidTextRepresentation, "series ends with %q, which is not an integer", operands[1])
	}
	return GenerateSeries{First: first, Last: last}, nil
}

func buildSet(operands []string) (Statement, error) {
	return Set{Name: strings.ToLower(operands[0]), Value: operands[1]}, nil
}

func buildShow(operands []string) (Statement, error) {
	return Show{Name: strings.ToLower(operands[0])}, nil
}

func buildStatus(operands []string) (Statement, error) {
	position, err := group.ParsePosition(operands[0])
	if err != nil {
		return nil, errorf(codeInvalidTextRepresentation, "%s", err)
	}
	ms, err := strconv.ParseUint(operands[1], 10, 31)
	if err != nil {
		return nil, errorf(codeInvalidTextRepresentation, "wait %q is not a number of milliseconds", operands[1])
	}
	return GetStatus{Position: position, MaxWait: time.Duration(ms) * time.Millisecond}, nil
}

func buildFence(operands []string) (Statement, error) {
	term, err := parseTerm(operands[0])
	return Fence{Term: term, Candidate: operands[1]}, err
}

func buildPromote(operands []string) (Statement, error) {
	term, err := parseTerm(operands[0])
	return Promote{Term: term, Candidate: operands[1]}, err
}

func buildFollow(operands []string) (Statement, error) {
	term, err := parseTerm(operands[0])
	return Follow{Term: term, Primary: operands[1]}, err
}

func parseTerm(text string) (group.Term, error) {
	term, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errorf(codeInvalidTextRepresentation, "term %q is not a number", text)
	}
	return group.Term(term), nil
}

func buildBind(operands []string) (Statement, error) {
	readOnly, err := strconv.ParseBool(operands[2])
	if err != nil {
		return nil, errorf(codeInvalidTextRepresentation, "read_only %q is neither true nor false", operands[2])
	}
	return Bind{Organisation: operands[0], Nonce: operands[1], ReadOnly: readOnly}, nil
}

func buildRelease(operands []string) (Statement, error) { return Release{Nonce: operands[0]}, nil }
