package bench

import (
	"cmp"
	"os"
)

// earlierIndex is the index of the instance that runs earlierBinary. It is in the same data centre as the first instance.
const earlierIndex = 1

// earlierBinary returns the path of an earlier version of the product to compare with in benchmarks, or an empty string.
func earlierBinary() string { return os.Getenv("RHUBARBWICK_EARLIER") }

func memberBinary(i int) string {
	if i == earlierIndex && earlierBinary() != "" {
		return earlierBinary()
	}
	return "rhubarbwick"
}

// limitPolicy returns the limits policy, which can be set to another one for benchmarks.
func limitPolicy() string { return cmp.Or(os.Getenv("RHUBARBWICK_POLICY"), "demand") }

// versions returns the instances to measure, one for each version.
func (f *fixture) versions() []version {
	all := []version{{"instance", f.members[0].clientAddress}}
	if earlierBinary() != "" {
		all = append(all, version{"earlier instance", f.members[earlierIndex].clientAddress})
	}
	return all
}

// version is an instance to measure, with the name of its version.
type version struct{ name, clientAddress string }
