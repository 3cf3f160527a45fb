package document

// Index finds the organisations and routes of one document by name in constant time. The zero value is the index
// of an empty document.
type Index struct {
	document      Document
	organisations map[string]Organisation
	routes        map[string]Route
}

// NewIndex returns the index of a document.
func NewIndex(d Document) Index {
	ix := Index{
		document:      d,
		organisations: make(map[string]Organisation, len(d.Organisations)),
		routes:        make(map[string]Route, len(d.Routes)),
	}
	for _, o := range d.Organisations {
		ix.organisations[o.Name] = o
	}
	for _, r := range d.Routes {
		ix.routes[r.Name] = r
	}
	return ix
}

// Document returns the indexed document.
func (ix Index) Document() Document { return ix.document }

// FindOrganisation returns the organisation of the name.
func (ix Index) FindOrganisation(name string) (Organisation, bool) {
	o, found := ix.organisations[name]
	return o, found
}

// FindRoute returns the route of the name.
func (ix Index) FindRoute(name string) (Route, bool) {
	r, found := ix.routes[name]
	return r, found
}
