package document

import (
	"encoding/json"
	"strings"
)

// homesSeparator separates the regions in Homes. No region contains it, because NewHomes drops such names.
const homesSeparator = "\n"

// Homes is the list of regions to which statements are restricted; the zero value has no restriction. It is encoded as a
// JSON list. It is comparable, so that documents can be compared without their encodings.
type Homes struct{ joined string }

// NewHomes returns the list of the regions. Empty names are dropped, and so are those with a line break.
func NewHomes(regions ...string) Homes {
	var kept []string
	for _, r := range regions {
		if r != "" && !strings.Contains(r, homesSeparator) {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 && len(regions) > 0 {
		// A list without a usable name must not lift the restriction.
		return Homes{joined: homesSeparator}
	}
	return Homes{joined: strings.Join(kept, homesSeparator)}
}

// List returns the regions. A restriction to no region is a list of empty names, which match none.
func (h Homes) List() []string {
	if h.joined == "" {
		return nil
	}
	return strings.Split(h.joined, homesSeparator)
}

// MarshalJSON returns the list.
func (h Homes) MarshalJSON() ([]byte, error) { return json.Marshal(append([]string{}, h.List()...)) }

// UnmarshalJSON decodes a list.
func (h *Homes) UnmarshalJSON(data []byte) error {
	var regions []string
	if err := json.Unmarshal(data, &regions); err != nil {
		return err
	}
	*h = NewHomes(regions...)
	return nil
}
