package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxSize is the maximum size of an encoded document in bytes. A document of 4,500 organisations, 4,500 groups and
// 4,500 routes has about 4 MB.
const MaxSize = 16 << 20

// Parse decodes and validates a document. It returns the zero document if there are violations.
func Parse(data []byte) (Document, []Violation) {
	d, violations := decode(data)
	if len(violations) > 0 {
		return Document{}, violations
	}
	if violations := d.Validate(); len(violations) > 0 {
		return Document{}, violations
	}
	return d, nil
}

// decode decodes a document without validating it.
func decode(data []byte) (Document, []Violation) {
	if len(data) > MaxSize {
		return Document{}, []Violation{sizeViolation(len(data))}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return Document{}, []Violation{decodeViolation(err, decoder.InputOffset())}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Document{}, []Violation{{"document", fmt.Sprintf("text after byte %d", decoder.InputOffset()), "one JSON object"}}
	}
	return d, nil
}

// Encode returns the JSON encoding of the document. It fails if the encoding exceeds MaxSize.
func Encode(d Document) ([]byte, []Violation) {
	data, err := json.Marshal(d.withEmptyLists())
	if err != nil {
		return nil, []Violation{{"document", err.Error(), "values that JSON can hold"}}
	}
	if len(data) > MaxSize {
		return nil, []Violation{sizeViolation(len(data))}
	}
	return data, nil
}

// withEmptyLists replaces nil lists with empty ones, so that they are encoded as [] instead of null.
func (d Document) withEmptyLists() Document {
	d.Organisations = append([]Organisation{}, d.Organisations...)
	for i, o := range d.Organisations {
		if o.Keys == nil {
			d.Organisations[i].Keys = []Key{}
		}
	}
	d.Groups = append([]Group{}, d.Groups...)
	d.Routes = append([]Route{}, d.Routes...)
	d.History = append([]Change{}, d.History...)
	return d
}

func sizeViolation(n int) Violation {
	return Violation{"document", fmt.Sprintf("%d bytes", n), fmt.Sprintf("at most %d bytes", MaxSize)}
}

func decodeViolation(err error, offset int64) Violation {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return Violation{pathOrDocument(mismatch.Field), mismatch.Value, "a " + mismatch.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return Violation{strings.Trim(name, `"`), fmt.Sprintf("a field near byte %d", offset), "only the fields of a document"}
	}
	return Violation{"document", fmt.Sprintf("%s near byte %d", err, offset), "JSON"}
}

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
