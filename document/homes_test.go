package document_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against homes that are lost between instances, and against a list without a usable region that lifts the
// restriction.
func TestHomesEncoding(t *testing.T) {
	for text, want := range map[string]document.Homes{
		`{}`: {}, `{"homes":["north","south"]}`: document.NewHomes("north", "south"), `{"homes":[""]}`: document.NewHomes(""),
	} {
		t.Run(text, func(t *testing.T) {
			var r document.Route
			require.NoError(t, json.Unmarshal([]byte(text), &r))
			require.Equal(t, want, r.Homes)
			encoded, err := json.Marshal(r)
			require.NoError(t, err)
			var again document.Route
			require.NoError(t, json.Unmarshal(encoded, &again))
			require.Equal(t, r, again)
			require.Equal(t, want == document.Homes{}, len(again.Homes.List()) == 0)
		})
	}
}
