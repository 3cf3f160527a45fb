package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against an index that names a deleted section, a change that is lost between sections and index, and a
// revision in force that reverts.
func TestSections(t *testing.T) {
	for _, bounds := range []spec.SectionBounds{
		{Changes: 2, Collections: 1, Lost: 1},
		{Changes: 1, Collections: 2, Lost: 1},
		{Changes: 2, Collections: 2, Lost: 1},
		{Changes: 3, Collections: 1, Lost: 1},
		{Changes: 2, Collections: 1, Reads: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewSections(bounds, spec.SectionFaults{}))
		})
	}
}

// Guards against invariants of the sections that hold whatever the editors and collectors do.
func TestSectionGuards(t *testing.T) {
	collected := spec.SectionBounds{Changes: 1, Collections: 1}
	crossed := spec.SectionBounds{Changes: 1, Reads: 1}
	for name, c := range map[string]struct {
		bounds spec.SectionBounds
		faults spec.SectionFaults
		want   string
	}{
		"ignore the version":                {collected, spec.SectionFaults{IgnoreVersion: true}, "which was deleted"},
		"raise the counter of any version":  {collected, spec.SectionFaults{RaiseAny: true}, "was accepted"},
		"delete without raising a counter":  {collected, spec.SectionFaults{NoCounter: true}, "which was deleted"},
		"write again under the same names":  {collected, spec.SectionFaults{SameAttempt: true}, "which was deleted"},
		"list after replacing the index":    {collected, spec.SectionFaults{ListLate: true}, "which was deleted"},
		"take any document that is read":    {crossed, spec.SectionFaults{TakeAny: true}, "in force after"},
		"ignore the version of two editors": {spec.SectionBounds{Changes: 2}, spec.SectionFaults{IgnoreVersion: true}, "was accepted"},
	} {
		t.Run(name, func(t *testing.T) { requireBreaks(t, spec.NewSections(c.bounds, c.faults), c.want) })
	}
}
