package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"gopkg.in/ini.v1"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// Violation is one thing that is wrong with the settings.
type Violation struct {
	Section string
	Key     string
	// Value is the value in the file; that of a secret is hidden.
	Value   string
	Allowed string
}

// String returns the fault as one line.
func (f Violation) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Allowed)
	}
	return fmt.Sprintf("[%s] %s = %q: %s", f.Section, f.Key, f.Value, f.Allowed)
}

// Load reads the file over the defaults and checks the whole. It returns every fault, or an error of kind
// Invalid when the file cannot be read as INI.
func Load(path string) (Settings, []Violation, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return Settings{}, nil, port.Wrapf(err, port.Invalid, "settings %s cannot be read", path)
	}
	return parse(file)
}

// Parse reads settings from text.
func Parse(text []byte) (Settings, []Violation, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return Settings{}, nil, port.Wrapf(err, port.Invalid, "settings cannot be read")
	}
	return parse(file)
}

func parse(file *ini.File) (Settings, []Violation, error) {
	s := Default()
	fields := fieldsOf(&s)
	faults := unknownFaults(file, fields)
	faults = append(faults, assign(file, fields)...)
	faults = append(faults, check(s)...)
	return s, faults, nil
}

// field is one key of the settings.
type field struct {
	section, key string
	secret       bool
	value        reflect.Value
}

func fieldsOf(s *Settings) []field {
	var fields []field
	root := reflect.ValueOf(s).Elem()
	for i := range root.NumField() {
		section := root.Type().Field(i).Tag.Get("ini")
		group := root.Field(i)
		for j := range group.NumField() {
			tag := group.Type().Field(j).Tag
			fields = append(fields, field{
				section: section,
				key:     tag.Get("ini"),
				secret:  tag.Get("secret") == "true",
				value:   group.Field(j),
			})
		}
	}
	return fields
}

func unknownFaults(file *ini.File, fields []field) []Violation {
	var faults []Violation
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known(fields, section.Name(), key.Name()) {
				faults = append(faults, Violation{section.Name(), key.Name(), "…", "there is no such key"})
			}
		}
	}
	return faults
}

func known(fields []field, section, key string) bool {
	for _, f := range fields {
		if f.section == section && f.key == key {
			return true
		}
	}
	return false
}

func assign(file *ini.File, fields []field) []Violation {
	var faults []Violation
	for _, f := range fields {
		section, err := file.GetSection(f.section)
		if err != nil || !section.HasKey(f.key) {
			continue
		}
		key := section.Key(f.key)
		if f.value.Kind() == reflect.String {
			f.value.SetString(key.String())
			continue
		}
		n, err := key.Int()
		if err != nil {
			faults = append(faults, Violation{f.section, f.key, key.String(), "must be a whole number"})
			continue
		}
		f.value.SetInt(int64(n))
	}
	return faults
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	rules := map[string]validator.Func{
		"name":    func(fl validator.FieldLevel) bool { return namePattern.MatchString(fl.Field().String()) },
		"ip_port": func(fl validator.FieldLevel) bool { return isAddress(fl.Field().String()) },
		"ip_ports": func(fl validator.FieldLevel) bool {
			return !slices.ContainsFunc(Instance{Seeds: fl.Field().String()}.SeedList(), isNoAddress)
		},
	}
	for tag, rule := range rules {
		if err := v.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return v
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isNoAddress(s string) bool { return !isAddress(s) }

func check(s Settings) []Violation {
	err := newValidator().Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	fields := fieldsOf(&s)
	var faults []Violation
	for _, e := range invalid {
		path := strings.Split(e.Namespace(), ".")
		section, key := path[len(path)-2], path[len(path)-1]
		faults = append(faults, Violation{section, key, given(fields, section, key), allowed(e)})
	}
	return faults
}

func given(fields []field, section, key string) string {
	for _, f := range fields {
		if f.section != section || f.key != key {
			continue
		}
		if f.secret && f.value.String() != "" {
			return "(hidden)"
		}
		return fmt.Sprint(f.value.Interface())
	}
	return ""
}

func allowed(e validator.FieldError) string {
	switch e.Tag() {
	case "required", "required_with":
		return "must be set"
	case "name":
		return "must be a lower-case name of at most 63 letters, digits, _ and -"
	case "ip_port":
		return "must be an IP address and a port, such as 127.0.0.1:6432"
	case "ip_ports":
		return "must be IP addresses and ports separated by commas"
	case "url":
		return "must be a URL, such as http://127.0.0.1:7000"
	case "min":
		return "must be at least " + e.Param() + unitOf(e)
	case "max":
		return "must be at most " + e.Param() + unitOf(e)
	case "len", "hexadecimal":
		return "must be 64 hexadecimal digits"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	}
	return "is not allowed (" + e.Tag() + ")"
}

func unitOf(e validator.FieldError) string {
	switch {
	case e.Kind() == reflect.String:
		return " bytes long"
	case strings.HasSuffix(e.Field(), "_ms"):
		return " ms"
	case strings.HasSuffix(e.Field(), "_bytes"):
		return " bytes"
	}
	return ""
}
