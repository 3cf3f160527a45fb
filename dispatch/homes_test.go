package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

var testRegions = dispatch.NewRegions(map[string]string{"a": "north", "b": "south"}).WithRegion("c", "south").WithRegion("a", "south")

// Guards against statements that leave the homes of their route or organisation, or reach a data centre whose region is
// unknown.
func TestHomesAllow(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	for name, c := range map[string]struct {
		homes   dispatch.Homes
		allowed []string
	}{
		"no homes":                   {dispatch.Homes{}, []string{"a", "b", "c", "unknown"}},
		"of the route":               {dispatch.NewHomes(north, nil), []string{"a"}},
		"of the organisation":        {dispatch.NewHomes(nil, south), []string{"b", "c"}},
		"of both, the same":          {dispatch.NewHomes(north, north), []string{"a"}},
		"of both, different":         {dispatch.NewHomes(north, south), nil},
		"several":                    {dispatch.NewHomes([]string{"north", "south"}, south), []string{"b", "c"}},
		"an empty name is no region": {dispatch.NewHomes([]string{""}, nil), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var allowed []string
			for _, dataCentre := range []string{"a", "b", "c", "unknown"} {
				if c.homes.Allow(testRegions, dataCentre) {
					allowed = append(allowed, dataCentre)
				}
			}
			require.Equal(t, c.allowed, allowed)
		})
	}
}

// Guards against a statement that waits for a server outside of its homes, and against one that is refused although a
// server in its homes may become usable.
func TestChooseWithinHomes(t *testing.T) {
	candidate := func(name, dataCentre string) dispatch.Candidate {
		return dispatch.Candidate{Server: dispatch.NewServer(dispatch.Listing{Name: name, DataCentre: dataCentre}), HasIdle: true}
	}
	servers := []dispatch.Candidate{candidate("s1", "a"), candidate("s2", "b")}
	choose := func(need dispatch.Need, homes dispatch.Homes, primary string) dispatch.Choice {
		return dispatch.Choose(need, servers, dispatch.RoutingContext{Primary: primary, Homes: homes, Regions: testRegions})
	}
	south, nowhere := dispatch.NewHomes([]string{"south"}, nil), dispatch.NewHomes([]string{"west"}, nil)
	for name, c := range map[string]struct {
		got, want dispatch.Choice
	}{
		"primary in the homes":    {choose(dispatch.NeedPrimary{}, south, "s2"), dispatch.ToServer{Server: "s2"}},
		"primary elsewhere":       {choose(dispatch.NeedPrimary{}, south, "s1"), dispatch.OutsideHomes{}},
		"primary not known":       {choose(dispatch.NeedPrimary{}, south, ""), dispatch.NoServer{}},
		"read in the homes":       {choose(dispatch.NeedReader{}, south, "s2"), dispatch.ToServer{Server: "s2"}},
		"no server in the homes":  {choose(dispatch.NeedReader{}, nowhere, "s1"), dispatch.OutsideHomes{}},
		"a loan isn't restricted": {choose(dispatch.NeedServer{Name: "s1"}, dispatch.Homes{}, "s2"), dispatch.ToServer{Server: "s1"}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.got) })
	}
}
