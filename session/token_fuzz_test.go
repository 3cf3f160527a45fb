package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Guards against a token that causes a panic, and against one that is accepted without its signature.
func FuzzToken(f *testing.F) {
	signer, err := NewSigner([]byte("0123456789abcdef0123456789abcdef"))
	require.NoError(f, err)
	content := payload("clinic", true, []string{"g"}, map[string]group.Position{"g": {Term: 1, Offset: 2}})
	f.Add(signer.encode(content), content)
	f.Add("", "")
	f.Add("1.2.3", ",,=")
	f.Fuzz(func(t *testing.T, token, content string) {
		if s, err := signer.Verify(token, "clinic"); err == nil {
			require.Equal(t, "clinic", s.Organisation())
		}
		_, _ = parsePayload(content)
	})
}
