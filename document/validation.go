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

// Violation is one violated rule of a document or an edit.
type Violation struct {
	// Path is the path of the field, for example "routes[2].slot".
	Path string
	// Value is the rejected value, as text.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s is given; allowed: %s", v.Path, v.Value, v.Allowed)
}

const (
	maxShownValue = 80
	allowedName   = "1 to 63 characters: a lower-case letter, then lower-case letters, digits, _ or -"
)

var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	structValidator = newStructValidator()
)

// Validate returns all violations of the document.
func (d Document) Validate() []Violation {
	return append(validateFields(d), d.validateAcrossFields()...)
}

// validateAcrossFields checks the rules that involve more than one field.
func (d Document) validateAcrossFields() []Violation {
	violations := d.validateOrganisations()
	violations = append(violations, d.validateGroups()...)
	return append(violations, d.validateRoutes()...)
}

func (d Document) validateOrganisations() []Violation {
	var violations []Violation
	names := uniqueValues{}
	hashes := uniqueValues{}
	for i, o := range d.Organisations {
		at := fieldPath{list: "organisations", entry: i}
		violations = names.add(violations, at.withField("name"), o.Name)
		if o.Name == OpenOrganisation {
			violations = append(violations, Violation{at.withField("name").String(), quote(o.Name), "a name other than the reserved \"open\""})
		}
		ids := uniqueValues{}
		for j, k := range o.Keys {
			at := at.inList("keys", j)
			violations = ids.add(violations, at.withField("id"), k.ID)
			// Whoever holds a key of two organisations could act for either of them.
			violations = hashes.add(violations, at.withField("sha256"), k.SHA256)
		}
	}
	return violations
}

func (d Document) validateGroups() []Violation {
	var violations []Violation
	names := uniqueValues{}
	addresses := uniqueValues{}
	for i, g := range d.Groups {
		at := fieldPath{list: "groups", entry: i}
		violations = names.add(violations, at.withField("name"), g.Name)
		slots := uniqueValues{}
		for j, slot := range g.Slots {
			violations = slots.add(violations, at.inList("slots", j), slot)
		}
		servers := uniqueValues{}
		for j, s := range g.Servers {
			at := at.inList("servers", j)
			violations = servers.add(violations, at.withField("name"), s.Name)
			// Two entries for one server would together allow twice its number of connections.
			violations = addresses.add(violations, at.withField("address"), s.Address)
		}
	}
	return violations
}

func (d Document) validateRoutes() []Violation {
	var violations []Violation
	names := uniqueValues{}
	slots := d.slotsByGroup()
	for i, r := range d.Routes {
		at := fieldPath{list: "routes", entry: i}
		violations = names.add(violations, at.withField("name"), r.Name)
		violations = append(violations, validateReferences(at, r, slots)...)
		violations = append(violations, validateRateLimit(at, r)...)
	}
	return violations
}

// slotsByGroup returns the slots of each group as a set. Searching the lists for each route took quadratic time.
func (d Document) slotsByGroup() map[string]map[string]bool {
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

func validateReferences(at fieldPath, r Route, groups map[string]map[string]bool) []Violation {
	slots, found := groups[r.Group]
	if !found {
		return []Violation{{at.withField("group").String(), quote(r.Group), "the name of a group in groups"}}
	}
	if !slots[r.Slot] {
		return []Violation{{at.withField("slot").String(), quote(r.Slot), fmt.Sprintf("a slot of group %s", r.Group)}}
	}
	return nil
}

func validateRateLimit(at fieldPath, r Route) []Violation {
	var violations []Violation
	if !r.Open {
		if r.Rate != 0 {
			violations = append(violations, Violation{at.withField("rate").String(), formatNumber(r.Rate), "no rate, because the route is not open"})
		}
		if r.Burst != 0 {
			violations = append(violations, Violation{at.withField("burst").String(), formatNumber(r.Burst), "no burst, because the route is not open"})
		}
		return violations
	}
	if r.Kind != Read {
		violations = append(violations, Violation{at.withField("kind").String(), quote(string(r.Kind)), "\"read\", because the route is open"})
	}
	if r.Rate <= 0 {
		violations = append(violations, Violation{at.withField("rate").String(), formatNumber(r.Rate), "a rate above 0, because the route is open"})
	}
	if r.Burst < 1 {
		violations = append(violations, Violation{at.withField("burst").String(), formatNumber(r.Burst), "a burst of 1 or more, because the route is open"})
	}
	return violations
}

// fieldPath is the path of a value in a document. It is formatted only for a violation: formatting the path of every
// value took most of the time of a validation.
type fieldPath struct {
	list  string
	entry int
	// sublist and index identify a value in a list within the entry. sublist is empty for a field of the entry itself.
	sublist string
	index   int
	field   string
}

func (p fieldPath) inList(sublist string, index int) fieldPath {
	p.sublist, p.index = sublist, index
	return p
}

func (p fieldPath) withField(field string) fieldPath {
	p.field = field
	return p
}

// String returns the path, for example "groups[2].servers[0].name".
func (p fieldPath) String() string {
	path := fmt.Sprintf("%s[%d]", p.list, p.entry)
	if p.sublist != "" {
		path += fmt.Sprintf(".%s[%d]", p.sublist, p.index)
	}
	if p.field != "" {
		path += "." + p.field
	}
	return path
}

// uniqueValues maps each value to the path where it first occurs.
type uniqueValues map[string]fieldPath

func (u uniqueValues) add(violations []Violation, at fieldPath, value string) []Violation {
	first, found := u[value]
	if !found {
		u[value] = at
		return violations
	}
	return append(violations, Violation{at.String(), valueText(at.String(), value), "a value other than that of " + first.String()})
}

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	registerValidation(v, "name", namePattern.MatchString)
	registerValidation(v, "sha256_hex", hashPattern.MatchString)
	registerValidation(v, "ip_port", isCanonicalAddress)
	return v
}

func registerValidation(v *validator.Validate, tag string, match func(string) bool) {
	check := func(f validator.FieldLevel) bool { return match(f.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(fmt.Errorf("validation %q cannot be registered: %w", tag, err))
	}
}

// isCanonicalAddress accepts an address only in its canonical form, so that equal addresses are equal strings.
func isCanonicalAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && a.String() == s
}

func validateFields(value any) []Violation {
	err := structValidator.Struct(value)
	if err == nil {
		return nil
	}
	invalid, ok := err.(validator.ValidationErrors) //nolint:errorlint // The validator returns it unwrapped.
	if !ok {
		return []Violation{{"document", err.Error(), "a document"}}
	}
	violations := make([]Violation, 0, len(invalid))
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		violations = append(violations, Violation{path, valueText(path, f.Value()), allowedText(f)})
	}
	return violations
}

// allowedText describes the values that the failed rule allows.
func allowedText(f validator.FieldError) string {
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

// valueText formats a rejected value. It does not show an invalid key hash, which may be the key itself, given by
// mistake.
func valueText(path string, value any) string {
	switch v := value.(type) {
	case string:
		if strings.HasSuffix(path, ".sha256") {
			return fmt.Sprintf("a text of %d characters", len(v))
		}
		return quote(v)
	case Kind:
		return quote(string(v))
	case float64:
		return formatNumber(v)
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

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
