package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const complete = `
[instance]
data_centre = kigali-1
[platform]
store_url = http://127.0.0.1:7000
[servers]
password = system-password
[session]
token_secret = 0123456789abcdef0123456789abcdef
`

// Guards against an instance that starts with settings that it does not understand.
func TestParse(t *testing.T) {
	t.Run("complete file has no fault", func(t *testing.T) {
		s := requireFaults(t, complete)
		require.Equal(t, "kigali-1", s.Instance.DataCentre)
		require.Equal(t, 1<<20, s.Clients.MessageBytes)
	})
	t.Run("every fault is reported", func(t *testing.T) {
		requireFaults(t, "[instance]\ndata_centre = Kigali 1\nlisten = x\n[callers]\nmessage_bytes = many\nstart_up_ms = 5\n"+
			"[platform]\nstore_url = http://127.0.0.1:7000\n[servers]\npassword = p\n[session]\ntoken_secret = short\n",
			`[instance] listen = "…": there is no such key`,
			`[callers] message_bytes = "many": must be a whole number`,
			`[instance] data_centre = "Kigali 1": must be a lower-case name of at most 63 letters, digits, _ and -`,
			`[callers] start_up_ms = "5": must be at least 100 ms`,
			`[session] token_secret = "(hidden)": must be at least 32 bytes long`)
	})
	t.Run("seeds are a list of addresses", func(t *testing.T) {
		with := strings.Replace(complete, "[platform]", "seeds = 127.0.0.1:1, 127.0.0.2:2\n[platform]", 1)
		require.Equal(t, []string{"127.0.0.1:1", "127.0.0.2:2"}, requireFaults(t, with).Instance.SeedList())
		requireFaults(t, strings.Replace(with, "127.0.0.2:2", "host", 1),
			`[instance] seeds = "127.0.0.1:1, host": must be IP addresses and ports separated by commas`)
	})
	t.Run("missing values are reported", func(t *testing.T) {
		requireFaults(t, "",
			`[instance] data_centre = "": must be set`,
			`[platform] store_url = "": must be set`,
			`[servers] password = "": must be set`,
			`[session] token_secret = "": must be set`)
	})
	t.Run("text that is not INI is invalid", func(t *testing.T) {
		_, _, err := settings.Parse([]byte("[instance\n"))
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
}

// Guards against a setting that an operator cannot look up, and against a page that has fallen behind the command.
func TestExplain(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	for _, e := range settings.Explain("") {
		t.Run(e.Name(), func(t *testing.T) {
			require.NotEmpty(t, e.Text)
			require.Contains(t, string(page), e.String(), "run: rhubarbwick settings explain")
		})
	}
	t.Run("a prefix chooses", func(t *testing.T) {
		found := settings.Explain("callers.start")
		require.Len(t, found, 1)
		require.Equal(t, "10000", found[0].Default)
		require.Empty(t, settings.Explain("nothing"))
	})
}

func requireFaults(t *testing.T, text string, want ...string) settings.Settings {
	t.Helper()
	s, faults, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	got := make([]string, 0, len(faults))
	for _, fault := range faults {
		got = append(got, fault.String())
	}
	require.ElementsMatch(t, want, got)
	return s
}
