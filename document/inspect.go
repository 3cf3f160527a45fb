package document

// Inspect decodes an encoded document and returns everything that is wrong with it. The document is zero if it cannot be
// decoded.
func Inspect(data []byte, f Facts) (Document, []Finding) {
	d, violations := decode(data)
	if len(violations) == 0 {
		violations = d.Validate()
	}
	findings := make([]Finding, 0, len(violations))
	reported := make(map[string]bool, len(violations))
	for _, v := range violations {
		findings = append(findings, FindingOf(v))
		reported[v.Path] = true
	}
	for _, finding := range d.Check(f) {
		if !reported[finding.Field] {
			findings = append(findings, finding)
		}
	}
	return d, findings
}
