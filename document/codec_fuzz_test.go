package document_test

import (
	"testing"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against a document, a patch or a stored index that causes a panic.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{"revision":1}`, `{"revision":1,"groups":[{"name":"g"}],"routes":[{}]}`, `{`, `[]`, ``, `{"revision":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if d, violations := document.Parse(data); len(violations) == 0 {
			_ = document.NewIndex(d)
		}
		_, _ = document.ParsePatch(data)
		_, _ = document.ParseStored(data)
		_, _ = document.ParseSection(document.SectionRef{}, data)
	})
}
