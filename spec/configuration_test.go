package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a configuration that reverts, a lost change and a withdrawn key that is served.
func TestConfiguration(t *testing.T) {
	for _, bounds := range []spec.ConfigurationBounds{
		{Changes: 1, Ticks: 3, Reports: 2},
		{Changes: 2, Ticks: 1, Reports: 1, Restarts: 1},
		{Changes: 1, Ticks: 4, Reports: 2},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewConfiguration(bounds, spec.ConfigurationFaults{}))
		})
	}
}

// Guards against invariants of the configuration that hold whatever the instances do.
func TestConfigurationGuards(t *testing.T) {
	race := spec.ConfigurationBounds{Changes: 2}
	crossed := spec.ConfigurationBounds{Changes: 1, Reports: 2}
	late := spec.ConfigurationBounds{Changes: 1, Ticks: 4, Reports: 1}
	for name, c := range map[string]struct {
		bounds spec.ConfigurationBounds
		faults spec.ConfigurationFaults
		want   string
	}{
		"ignore the version":       {race, spec.ConfigurationFaults{IgnoreVersion: true}, "was stored after"},
		"take any document":        {crossed, spec.ConfigurationFaults{TakeAny: true}, "in force after"},
		"accept without an answer": {race, spec.ConfigurationFaults{AcceptUnstored: true}, "was accepted"},
		"accept alone":             {late, spec.ConfigurationFaults{AcceptAlone: true}, "serves the withdrawn key"},
		"serve without freshness":  {late, spec.ConfigurationFaults{ServeStale: true}, "serves the withdrawn key"},
		"vouch of one data centre": {late, spec.ConfigurationFaults{VouchAlone: true}, "serves the withdrawn key"},
	} {
		t.Run(name, func(t *testing.T) { requireBreaks(t, spec.NewConfiguration(c.bounds, c.faults), c.want) })
	}
}
