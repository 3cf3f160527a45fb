package document

// Index looks up the organisations, keys, groups and routes of a document in constant time. The zero value is the index
// of the empty document.
type Index struct {
	document      Document
	organisations map[string]Organisation
	routes        map[string]Route
	groups        map[string]Group
	keys          map[string]ownedKey
}

// ownedKey is a key with its organisation.
type ownedKey struct {
	organisation Organisation
	key          Key
}

// NewIndex returns the index of a document.
func NewIndex(d Document) Index {
	ix := Index{
		document:      d,
		organisations: make(map[string]Organisation, len(d.Organisations)),
		routes:        make(map[string]Route, len(d.Routes)),
		groups:        make(map[string]Group, len(d.Groups)),
		keys:          make(map[string]ownedKey, len(d.Organisations)),
	}
	for _, o := range d.Organisations {
		ix.organisations[o.Name] = o
		for _, k := range o.Keys {
			ix.keys[k.SHA256] = ownedKey{organisation: o, key: k}
		}
	}
	for _, g := range d.Groups {
		ix.groups[g.Name] = g
	}
	for _, r := range d.Routes {
		ix.routes[r.Name] = r
	}
	return ix
}

// Document returns the indexed document.
func (ix Index) Document() Document { return ix.document }

// FindOrganisation returns the organisation with the given name.
func (ix Index) FindOrganisation(name string) (Organisation, bool) {
	o, found := ix.organisations[name]
	return o, found
}

// FindRoute returns the route with the given name.
func (ix Index) FindRoute(name string) (Route, bool) {
	r, found := ix.routes[name]
	return r, found
}

// FindKey returns the key with the given hash and its organisation.
func (ix Index) FindKey(sha256 string) (Organisation, Key, bool) {
	h, found := ix.keys[sha256]
	return h.organisation, h.key, found
}

// FindGroup returns the group with the given name.
func (ix Index) FindGroup(name string) (Group, bool) {
	g, found := ix.groups[name]
	return g, found
}
