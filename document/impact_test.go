package document_test

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against a field of an entry whose changes are not shown before they are sent.
func TestImpactsIncludeEveryField(t *testing.T) {
	for name, entry := range map[string]func(d *document.Document) any{
		"organisation": func(d *document.Document) any { return &d.Organisations[0] },
		"group":        func(d *document.Document) any { return &d.Groups[0] },
		"server":       func(d *document.Document) any { return &d.Groups[0].Servers[0] },
		"route":        func(d *document.Document) any { return &d.Routes[0] },
	} {
		d := validDocument()
		for i := range reflect.ValueOf(entry(&d)).Elem().NumField() {
			field := reflect.TypeOf(entry(&d)).Elem().Field(i)
			t.Run(name+" "+field.Name, func(t *testing.T) {
				old, next := validDocument(), validDocument()
				if !alter(reflect.ValueOf(entry(&next)).Elem().Field(i)) {
					t.Logf("%s is a list of entries", field.Name)
					return
				}
				require.NotEmpty(t, document.Impacts(old, next))
			})
		}
	}
}

// alter gives a field another value. It reports false for a list of entries.
func alter(field reflect.Value) bool {
	switch value := field.Addr().Interface().(type) {
	case *document.Homes:
		*value = document.NewHomes("north")
		return true
	case *[]string:
		*value = append([]string{"another"}, *value...)
		return true
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(field.String() + "another")
	case reflect.Bool:
		field.SetBool(!field.Bool())
	case reflect.Int, reflect.Int64:
		field.SetInt(field.Int() + 1)
	case reflect.Float64:
		field.SetFloat(field.Float() + 1)
	default:
		return false
	}
	return true
}
