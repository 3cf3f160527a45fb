package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against an index that references a deleted section, an acknowledged change that is lost, and a reader that goes
// back to an older revision.
func TestSections(t *testing.T) {
	for _, bounds := range []spec.SectionBounds{
		{Changes: 2, GCRuns: 1, LostResponses: 1},
		{Changes: 1, GCRuns: 2, LostResponses: 1},
		{Changes: 2, GCRuns: 2, LostResponses: 1},
		{Changes: 3, GCRuns: 1, LostResponses: 1},
		{Changes: 2, GCRuns: 1, Reads: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewSections(bounds, spec.SectionFaults{}))
		})
	}
}

// Guards against invariants that are too weak: each disabled guard has to lead to a violation.
func TestSectionGuards(t *testing.T) {
	collected := spec.SectionBounds{Changes: 1, GCRuns: 1}
	crossed := spec.SectionBounds{Changes: 1, Reads: 1}
	for name, c := range map[string]struct {
		bounds spec.SectionBounds
		faults spec.SectionFaults
		want   string
	}{
		"ignore the version":                {collected, spec.SectionFaults{IgnoreVersion: true}, "which was deleted"},
		"collect on any version":            {collected, spec.SectionFaults{GCIgnoreVersion: true}, "was acknowledged"},
		"delete without a new counter":      {collected, spec.SectionFaults{DeleteWithoutCounter: true}, "which was deleted"},
		"reuse object names":                {collected, spec.SectionFaults{ReuseObjectNames: true}, "which was deleted"},
		"list after replacing the index":    {collected, spec.SectionFaults{ListAfterReplace: true}, "which was deleted"},
		"install any document":              {crossed, spec.SectionFaults{InstallAny: true}, "was installed after"},
		"ignore the version of two editors": {spec.SectionBounds{Changes: 2}, spec.SectionFaults{IgnoreVersion: true}, "was acknowledged"},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, spec.NewSections(c.bounds, c.faults), c.want) })
	}
}
