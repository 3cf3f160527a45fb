package document

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Violation is one thing that is wrong with a document or an edit.
type Violation struct {
	// Path leads to the field, for example "routes[2].slot".
	Path string
	// Value is what was given.
	Value string
	// Allowed says what may be given.
	Allowed string
}

// String returns the fault as one line.
func (f Violation) String() string {
	return fmt.Sprintf("%s: %s is given; allowed: %s", f.Path, f.Value, f.Allowed)
}

const (
	maxShownValue = 80
	allowedName   = "1 to 63 characters: a lower-case letter, then lower-case letters, digits, _ or -"
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	checker     = newChecker()
)

// Validate returns every fault of the document.
func (d Document) Validate() []Violation {
	return append(checkFields(d), d.checkReferencesAndNames()...)
}

// checkReferencesAndNames checks what involves more than one field.
func (d Document) checkReferencesAndNames() []Violation {
	faults := d.checkOrganisations()
	faults = append(faults, d.checkGroups()...)
	return append(faults, d.checkRoutes()...)
}

func (d Document) checkOrganisations() []Violation {
	var faults []Violation
	names := seen{}
	hashes := seen{}
	for i, o := range d.Organisations {
		at := place{list: "organisations", entry: i}
		faults = names.check(faults, at.with("name"), o.Name)
		if o.Name == OpenOrganisation {
			faults = append(faults, Violation{at.with("name").String(), quote(o.Name), "a name other than the reserved \"open\""})
		}
		ids := seen{}
		for j, k := range o.Keys {
			at := at.within("keys", j)
			faults = ids.check(faults, at.with("id"), k.ID)
			// A key of two organisations would let its holder choose between them.
			faults = hashes.check(faults, at.with("sha256"), k.SHA256)
		}
	}
	return faults
}

func (d Document) checkGroups() []Violation {
	var faults []Violation
	names := seen{}
	addresses := seen{}
	for i, g := range d.Groups {
		at := place{list: "groups", entry: i}
		faults = names.check(faults, at.with("name"), g.Name)
		slots := seen{}
		for j, slot := range g.Slots {
			faults = slots.check(faults, at.within("slots", j), slot)
		}
		servers := seen{}
		for j, s := range g.Servers {
			at := at.within("servers", j)
			faults = servers.check(faults, at.with("name"), s.Name)
			// Two entries of one server would each allow its full number of connections.
			faults = addresses.check(faults, at.with("address"), s.Address)
		}
	}
	return faults
}

func (d Document) checkRoutes() []Violation {
	var faults []Violation
	names := seen{}
	slots := d.slotsOfGroups()
	for i, r := range d.Routes {
		at := place{list: "routes", entry: i}
		faults = names.check(faults, at.with("name"), r.Name)
		faults = append(faults, checkReferences(at, r, slots)...)
		faults = append(faults, checkRate(at, r)...)
	}
	return faults
}

// slotsOfGroups returns the names of each group's slots. Looking them up in the lists took time with the square of
// the number of routes.
func (d Document) slotsOfGroups() map[string]map[string]bool {
	groups := make(map[string]map[string]bool, len(d.Groups))
	for _, g := range d.Groups {
		slots := make(map[string]bool, len(g.Slots))
		for _, slot := range g.Slots {
			slots[slot] = true
		}
		groups[g.Name] = slots
	}
	return groups
}

func checkReferences(at place, r Route, groups map[string]map[string]bool) []Violation {
	slots, found := groups[r.Group]
	if !found {
		return []Violation{{at.with("group").String(), quote(r.Group), "the name of a group in groups"}}
	}
	if !slots[r.Slot] {
		return []Violation{{at.with("slot").String(), quote(r.Slot), fmt.Sprintf("a slot of group %s", r.Group)}}
	}
	return nil
}

func checkRate(at place, r Route) []Violation {
	var faults []Violation
	if !r.Open {
		if r.Rate != 0 {
			faults = append(faults, Violation{at.with("rate").String(), number(r.Rate), "no rate, because the route is not open"})
		}
		if r.Burst != 0 {
			faults = append(faults, Violation{at.with("burst").String(), number(r.Burst), "no burst, because the route is not open"})
		}
		return faults
	}
	if r.Kind != Read {
		faults = append(faults, Violation{at.with("kind").String(), quote(string(r.Kind)), "\"read\", because the route is open"})
	}
	if r.Rate <= 0 {
		faults = append(faults, Violation{at.with("rate").String(), number(r.Rate), "a rate above 0, because the route is open"})
	}
	if r.Burst < 1 {
		faults = append(faults, Violation{at.with("burst").String(), number(r.Burst), "a burst of 1 or more, because the route is open"})
	}
	return faults
}

// place is where a value is in a document. Its text is made only for a fault: making that of every value took most of
// the time of a check.
type place struct {
	list  string
	entry int
	// part and item lead to a value of a list within the entry. part is empty for a value of the entry itself.
	part  string
	item  int
	field string
}

func (p place) within(part string, item int) place {
	p.part, p.item = part, item
	return p
}

func (p place) with(field string) place {
	p.field = field
	return p
}

// String returns the path, for example "groups[2].servers[0].name".
func (p place) String() string {
	path := fmt.Sprintf("%s[%d]", p.list, p.entry)
	if p.part != "" {
		path += fmt.Sprintf(".%s[%d]", p.part, p.item)
	}
	if p.field != "" {
		path += "." + p.field
	}
	return path
}

// seen keeps where each value was given first.
type seen map[string]place

func (s seen) check(faults []Violation, at place, value string) []Violation {
	first, found := s[value]
	if !found {
		s[value] = at
		return faults
	}
	return append(faults, Violation{at.String(), shown(at.String(), value), "a value other than that of " + first.String()})
}

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	register(v, "name", namePattern.MatchString)
	register(v, "sha256_hex", hashPattern.MatchString)
	register(v, "ip_port", isAddress)
	return v
}

func register(v *validator.Validate, tag string, match func(string) bool) {
	check := func(f validator.FieldLevel) bool { return match(f.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(fmt.Errorf("validation %q cannot be registered: %w", tag, err))
	}
}

// isAddress accepts only the canonical text, so that one server has one address text.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && a.String() == s
}

func checkFields(value any) []Violation {
	err := checker.Struct(value)
	if err == nil {
		return nil
	}
	invalid, ok := err.(validator.ValidationErrors) //nolint:errorlint // The validator returns it unwrapped.
	if !ok {
		return []Violation{{"document", err.Error(), "a document"}}
	}
	faults := make([]Violation, 0, len(invalid))
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		faults = append(faults, Violation{path, shown(path, f.Value()), allowed(f)})
	}
	return faults
}

// allowed says what the failed check lets through.
func allowed(f validator.FieldError) string {
	sized := f.Kind() == reflect.Slice || f.Kind() == reflect.String
	unit := ""
	if f.Kind() == reflect.Slice {
		unit = " entries"
	} else if f.Kind() == reflect.String {
		unit = " characters"
	}
	switch f.Tag() {
	case "required":
		return "a value"
	case "name":
		return allowedName
	case "sha256_hex":
		return "64 lower-case hexadecimal digits, the SHA-256 of the key"
	case "ip_port":
		return "an IP address and a port, for example 10.0.0.1:5432 or [fd00::1]:5432"
	case "oneof":
		return strings.Join(strings.Fields(f.Param()), " or ")
	case "gt":
		return "a number above " + f.Param()
	case "min", "gte":
		return f.Param() + unit + " or more"
	case "max", "lte":
		if sized {
			return "at most " + f.Param() + unit
		}
		return f.Param() + " or less"
	default:
		return f.Tag() + " " + f.Param()
	}
}

// shown is the text of a value for a fault. A wrong hash may be a key by mistake, so its text is not shown.
func shown(path string, value any) string {
	switch v := value.(type) {
	case string:
		if strings.HasSuffix(path, ".sha256") {
			return fmt.Sprintf("a text of %d characters", len(v))
		}
		return quote(v)
	case Kind:
		return quote(string(v))
	case float64:
		return number(v)
	default:
		if k := reflect.ValueOf(value).Kind(); k == reflect.Slice {
			return fmt.Sprintf("%d entries", reflect.ValueOf(value).Len())
		}
		return fmt.Sprint(value)
	}
}

func quote(s string) string {
	if len(s) > maxShownValue {
		s = s[:maxShownValue] + "…"
	}
	return strconv.Quote(s)
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
