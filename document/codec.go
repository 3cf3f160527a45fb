package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxSize is the greatest size of an encoded document in bytes. 4,500 organisations with as many groups and routes take
// about 4 MB.
const MaxSize = 16 << 20

// Parse reads and checks a document. It returns the document only when there is no fault.
func Parse(data []byte) (Document, []Violation) {
	if len(data) > MaxSize {
		return Document{}, []Violation{sizeFault(len(data))}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return Document{}, []Violation{decodeFault(err, decoder.InputOffset())}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Document{}, []Violation{{"document", fmt.Sprintf("text after byte %d", decoder.InputOffset()), "one JSON object"}}
	}
	if faults := d.Validate(); len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}

// Encode returns the document's JSON. It fails when the document is too large.
func Encode(d Document) ([]byte, []Violation) {
	data, err := json.Marshal(d.withEmptyLists())
	if err != nil {
		return nil, []Violation{{"document", err.Error(), "values that JSON can hold"}}
	}
	if len(data) > MaxSize {
		return nil, []Violation{sizeFault(len(data))}
	}
	return data, nil
}

// withEmptyLists replaces absent lists by empty ones, so that the JSON shows [] instead of null.
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

func sizeFault(n int) Violation {
	return Violation{"document", fmt.Sprintf("%d bytes", n), fmt.Sprintf("at most %d bytes", MaxSize)}
}

func decodeFault(err error, offset int64) Violation {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return Violation{orDocument(mismatch.Field), mismatch.Value, "a " + mismatch.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return Violation{strings.Trim(name, `"`), fmt.Sprintf("a field near byte %d", offset), "only the fields of a document"}
	}
	return Violation{"document", fmt.Sprintf("%s near byte %d", err, offset), "JSON"}
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
