package proxy

import (
	"slices"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// homes returns the homes of the session's statements on the route under the document in force.
func (s *Session) homes(route document.Route) dispatch.Homes {
	index, _ := s.manager.cfg.Documents.CurrentDocument()
	o, _ := index.FindOrganisation(s.authorized.Organisation)
	return dispatch.NewHomes(route.Homes.List(), o.Homes.List())
}

// within returns the ownership without the owners outside of the homes. Their pools are not used for statements that must
// not pass through them; if no owner remains, this instance connects directly.
func (o ownership) within(homes dispatch.Homes, regions dispatch.Regions) ownership {
	isOutside := func(m Member) bool { return !homes.Allow(regions, m.DataCentre) }
	if slices.ContainsFunc(o.owners, isOutside) {
		o.owners = slices.DeleteFunc(slices.Clone(o.owners), isOutside)
	}
	return o
}
