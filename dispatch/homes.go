package dispatch

import "slices"

// Regions maps data centres to regions. It is immutable; the zero value knows no region.
type Regions struct{ byDataCentre map[string]string }

// NewRegions returns the regions of the data centres. The map must not be modified.
func NewRegions(byDataCentre map[string]string) Regions { return Regions{byDataCentre: byDataCentre} }

// WithRegion returns the regions with that of another data centre, unless it is known already.
func (r Regions) WithRegion(dataCentre, region string) Regions {
	if r.byDataCentre[dataCentre] != "" || region == "" {
		return r
	}
	next := map[string]string{dataCentre: region}
	for name, other := range r.byDataCentre {
		next[name] = other
	}
	return Regions{byDataCentre: next}
}

// Homes are the regions to which the statements of a route and of an organisation are restricted. The zero value has no
// restriction.
type Homes struct{ route, organisation []string }

// NewHomes returns the homes of a statement. An empty list has no restriction; with two lists, both apply.
func NewHomes(route, organisation []string) Homes {
	return Homes{route: route, organisation: organisation}
}

// Allow reports whether a statement may run at a server, or pass through an instance, in the data centre. A data centre
// whose region is unknown is outside of all homes.
func (h Homes) Allow(regions Regions, dataCentre string) bool {
	region := regions.byDataCentre[dataCentre]
	isIn := func(homes []string) bool { return len(homes) == 0 || region != "" && slices.Contains(homes, region) }
	return isIn(h.route) && isIn(h.organisation)
}

// OutsideHomes means that no server in the homes of the statement can run it, whatever their state.
type OutsideHomes struct{}

func (OutsideHomes) choice() {}

// withinHomes returns the candidates in the homes of the statement. It reports false if none of them can run it: there is
// none, or the statement needs the primary and that is elsewhere.
func withinHomes(need Need, candidates []Candidate, in RoutingContext) ([]Candidate, bool) {
	if len(in.Homes.route)+len(in.Homes.organisation) == 0 {
		return candidates, true
	}
	within := make([]Candidate, 0, len(candidates))
	isPrimaryElsewhere := false
	for _, c := range candidates {
		if in.Homes.Allow(in.Regions, c.Server.Listing.DataCentre) {
			within = append(within, c)
			continue
		}
		_, needsPrimary := need.(NeedPrimary)
		isPrimaryElsewhere = isPrimaryElsewhere || needsPrimary && c.Server.Listing.Name == in.Primary
	}
	return within, !isPrimaryElsewhere && (len(within) > 0 || len(candidates) == 0)
}
