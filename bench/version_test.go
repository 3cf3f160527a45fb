package bench

import (
	"cmp"
	"os"
)

// earlierMember is the place of the instance that runs the binary of earlierBinary. It is in the data centre of the first.
const earlierMember = 1

// earlierBinary returns the path of an earlier version of the product, with which the benchmarks compare; empty when
// there is none.
func earlierBinary() string { return os.Getenv("RHUBARBWICK_EARLIER") }

func memberBinary(i int) string {
	if i == earlierMember && earlierBinary() != "" {
		return earlierBinary()
	}
	return "rhubarbwick"
}

// limitPolicy returns the policy of the limits; the benchmarks can be run with another one.
func limitPolicy() string { return cmp.Or(os.Getenv("RHUBARBWICK_POLICY"), "demand") }

// versions returns the instances that are measured, by the name of their version.
func (f *fleet) versions() []version {
	all := []version{{"instance", f.members[0].callers}}
	if earlierBinary() != "" {
		all = append(all, version{"earlier instance", f.members[earlierMember].callers})
	}
	return all
}

// version is an instance that is measured.
type version struct{ name, callers string }
