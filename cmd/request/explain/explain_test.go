package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const logs = `  34.1 front-2 {"ts":"2026-05-28T01:57:50.078Z","msg":"promotion: announced","instance":"front-2","group":"core","server":"i-1","epoch":2,"reason":"the primary answers no instance"}
something else
{"ts":"2026-05-28T01:57:50.010Z","msg":"request: answered","instance":"front-1","request":"abc","result":"unknown_outcome","reason":"the server's answer to the write was lost","organisation":"clinic","group":"core","server":"i-1","tries":1,"took":0.8,"primary_age":0.4,"revision":7}
{"ts":"2026-05-28T01:57:50.100Z","msg":"request: answered","instance":"front-1","request":"other","result":"busy","group":"core"}
{"ts":"2026-05-28T01:57:50.120Z","msg":"promotion: announced","instance":"front-2","group":"another","server":"i-9","epoch":2}
{"ts":"2026-05-28T01:59:50.120Z","msg":"promotion: leads","instance":"front-2","group":"core","server":"i-2","epoch":2}
{"ts":"2026-05-28T01:57:49.500Z","msg":"instance: isolated, callers are sent elsewhere","instance":"front-1"}
`

func explainID(id string) (string, error) {
	var out bytes.Buffer
	err := run(&Options{
		Streams: streams.Streams{In: strings.NewReader(logs), Out: &out}, ID: id, Margin: 5 * time.Second,
	})
	return out.String(), err
}

// Guards against output that misses decisions about the request's group or instance, or contains other requests and
// groups.
func TestExplain(t *testing.T) {
	t.Run("the request and related lines in the order of time", func(t *testing.T) {
		text, err := explainID("abc")
		require.NoError(t, err)
		rows := strings.Split(strings.TrimSpace(text), "\n")
		require.Len(t, rows, 3)
		require.Contains(t, rows[0], "isolated")
		require.Contains(t, rows[1], "unknown_outcome after 0.800 s: the server's answer to the write was lost")
		require.Contains(t, rows[2], "promotion: announced")
	})
	t.Run("an unknown request", func(t *testing.T) {
		_, err := explainID("nothing")
		require.Equal(t, port.NotFound, port.KindOf(err))
	})
	t.Run("no id", func(t *testing.T) {
		_, err := explainID("")
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
}
