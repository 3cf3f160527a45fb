package dispatch

import "slices"

// ChooseNear is Choose for a read that stays in its data centre if a warm replica there can run it, or, with usePrimary, the
// primary there. Otherwise all servers are considered.
func ChooseNear(need Need, candidates []Candidate, in RoutingContext, usePrimary bool) Choice {
	near := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		l := c.Server.Listing
		return l.DataCentre != in.DataCentre || l.Name == in.Primary && !usePrimary || c.WarmUp != Warm
	})
	switch choice := Choose(need, near, in).(type) {
	case ToServer, NoConnection:
		return choice
	default:
		return Choose(need, candidates, in)
	}
}

// ChooseServer is Choose for a read that is sent to one server through its pool's owner. It returns NoServer if the server
// cannot run the read or is cold, or if no owner lends its connections.
func ChooseServer(need Need, server string, candidates []Candidate, in RoutingContext) Choice {
	return Choose(need, slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Server.Listing.Name != server || !c.HasIdle || c.WarmUp != Warm
	}), in)
}

// CanStay reports whether a warm server of the data centre could run the read if none had refused it yet.
func CanStay(need Need, candidates []Candidate, in RoutingContext) bool {
	in.Excluded = nil
	candidates, _ = withinHomes(need, candidates, in)
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		_, fits := checkServer(need, c.Server, in)
		return fits && c.WarmUp == Warm && c.Server.Listing.DataCentre == in.DataCentre
	})
}
