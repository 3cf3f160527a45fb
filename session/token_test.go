package session_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// Guards against a token that carries less or more than the session saw.
func TestToken(t *testing.T) {
	s := signer(t, 1)
	t.Run("carries the positions", func(t *testing.T) {
		requireSame(t, s, session.Resume("acme", nil).WithFloor("g", group.Position{Term: 2, Offset: 9}))
		requireSame(t, s, session.Fresh("acme"))
		requireSame(t, s, session.Fresh("acme").WithFloor("g", group.Position{Term: 1, Offset: 1}))
	})
	t.Run("a first write makes the group's floor known", func(t *testing.T) {
		written := session.New("acme").WithFloor("g", group.Position{Term: 1, Offset: 4})
		got, err := s.Verify(s.Sign(written), "acme")
		require.NoError(t, err)
		requireFloor(t, got, "g", group.Position{Term: 1, Offset: 4}, true)
		requireFloor(t, got, "other", group.Position{}, false)
	})
	t.Run("nothing to carry", func(t *testing.T) {
		require.Empty(t, s.Sign(session.New("acme")))
		require.Empty(t, session.Signer{}.Sign(session.Fresh("acme")))
	})
	t.Run("no token and new", func(t *testing.T) {
		got, err := s.Verify("", "acme")
		require.NoError(t, err)
		requireFloor(t, got, "g", group.Position{}, false)
		got, err = s.Verify(session.NoWritesToken, "acme")
		require.NoError(t, err)
		requireFloor(t, got, "g", group.Position{}, true)
	})
	t.Run("too many groups are left out, not taken for unwritten", func(t *testing.T) {
		long := session.Fresh("acme")
		for i := range 200 {
			long = long.WithFloor(fmt.Sprintf("%s%03d", strings.Repeat("g", 40), i), group.Position{Term: 1, Offset: 1})
		}
		token := s.Sign(long)
		require.LessOrEqual(t, len(token), session.MaxTokenSize)
		got, err := s.Verify(token, "acme")
		require.NoError(t, err)
		requireFloor(t, got, strings.Repeat("g", 40)+"199", group.Position{}, false)
	})
}

// Guards against tokens that nobody signed for the caller.
func TestTokenRefused(t *testing.T) {
	s := signer(t, 1)
	token := s.Sign(session.Fresh("acme").WithFloor("g", group.Position{Term: 1, Offset: 4}))
	t.Run("another organisation", func(t *testing.T) { requireRefused(t, s, token, "bolt") })
	t.Run("another secret", func(t *testing.T) { requireRefused(t, signer(t, 2), token, "acme") })
	t.Run("zero signer", func(t *testing.T) { requireRefused(t, session.Signer{}, token, "acme") })
	t.Run("unknown version", func(t *testing.T) { requireRefused(t, s, "2"+token[1:], "acme") })
	t.Run("too long", func(t *testing.T) { requireRefused(t, s, token+strings.Repeat("A", session.MaxTokenSize), "acme") })
	t.Run("any changed byte", func(t *testing.T) {
		for i := range token {
			for _, b := range []byte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.=") {
				changed := []byte(token)
				changed[i] = b
				if string(changed) != token {
					requireRefused(t, s, string(changed), "acme")
				}
			}
		}
	})
	t.Run("short secret", func(t *testing.T) {
		_, err := session.NewSigner(make([]byte, session.MinSecretSize-1))
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
}

func signer(t *testing.T, b byte) session.Signer {
	t.Helper()
	s, err := session.NewSigner(bytes.Repeat([]byte{b}, session.MinSecretSize))
	require.NoError(t, err)
	return s
}

func requireSame(t *testing.T, s session.Signer, want session.Session) {
	t.Helper()
	got, err := s.Verify(s.Sign(want), want.Organisation())
	require.NoError(t, err)
	require.Equal(t, want.IsFresh(), got.IsFresh())
	require.Len(t, got.Floors(), len(want.Floors()))
	for name, p := range want.Floors() {
		requireFloor(t, got, name, p, true)
	}
}

func requireFloor(t *testing.T, s session.Session, name string, want group.Position, known bool) {
	t.Helper()
	p, ok := s.Floor(name)
	require.Equal(t, known, ok)
	require.Equal(t, want, p)
}

func requireRefused(t *testing.T, s session.Signer, token, organisation string) {
	t.Helper()
	_, err := s.Verify(token, organisation)
	require.Equal(t, port.BadToken, port.KindOf(err), token)
}
