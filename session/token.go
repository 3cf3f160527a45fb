package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MinSecretSize is the minimum length of the token secret in bytes, the size of a SHA-256 hash.
	MinSecretSize = 32
	// MaxTokenSize is the maximum length of a token in bytes.
	MaxTokenSize = 4096
	// NoWritesToken is the token of a client that has no earlier writes.
	NoWritesToken = "new"

	tokenVersion  = "1"
	freshMarker   = "fresh"
	resumedMarker = "carried"
)

var tokenEncoding = base64.RawURLEncoding.Strict()

// Signer signs and verifies session tokens. A zero Signer issues no tokens and rejects all of them; use NewSigner.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer with the token secret that all instances share.
func NewSigner(secret []byte) (Signer, error) {
	if len(secret) < MinSecretSize {
		return Signer{}, port.Errorf(port.Invalid, "token secret has %d bytes, the minimum is %d", len(secret), MinSecretSize)
	}
	return Signer{secret: slices.Clone(secret)}, nil
}

// Sign returns the session's token. It returns "" if the session has no positions to keep or the signer has no secret.
// If the positions exceed MaxTokenSize, some are left out: reads in those groups then see the newest data.
func (s Signer) Sign(session Session) string {
	floors := session.Floors()
	if len(s.secret) == 0 || session.Organisation() == "" || (!session.IsFresh() && len(floors) == 0) {
		return ""
	}
	names := slices.Sorted(maps.Keys(floors))
	token := s.encode(payload(session.Organisation(), session.IsFresh(), names, floors))
	for len(token) > MaxTokenSize {
		names = names[:len(names)*3/4]
		token = s.encode(payload(session.Organisation(), false, names, floors))
	}
	return token
}

// Verify verifies the token of a client of the organisation and returns its session. An empty text means that the
// client has no token, and NoWritesToken that it has no earlier writes. Errors are of kind BadToken.
func (s Signer) Verify(text, organisation string) (Session, error) {
	switch text {
	case "":
		return New(organisation), nil
	case NoWritesToken:
		return Fresh(organisation), nil
	}
	content, err := s.decode(text)
	if err != nil {
		return Session{}, err
	}
	session, err := parsePayload(content)
	if err != nil {
		return Session{}, err
	}
	if session.Organisation() != organisation {
		return Session{}, port.Errorf(port.BadToken, "session token belongs to another organisation")
	}
	return session, nil
}

// encode returns the version, the payload and its HMAC, separated by dots.
func (s Signer) encode(content string) string {
	signed := tokenVersion + "." + tokenEncoding.EncodeToString([]byte(content))
	return signed + "." + tokenEncoding.EncodeToString(s.mac(signed))
}

func (s Signer) decode(text string) (string, error) {
	if len(s.secret) == 0 {
		return "", port.Errorf(port.BadToken, "session tokens are not enabled: this instance has no token secret")
	}
	if len(text) > MaxTokenSize {
		return "", port.Errorf(port.BadToken, "session token has %d bytes, the maximum is %d", len(text), MaxTokenSize)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return "", port.Errorf(port.BadToken, "session token does not consist of three parts")
	}
	if parts[0] != tokenVersion {
		return "", port.Errorf(port.BadToken, "session token has an unsupported version")
	}
	signature, err := tokenEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(signature, s.mac(parts[0]+"."+parts[1])) {
		return "", port.Errorf(port.BadToken, "session token has an invalid signature")
	}
	content, err := tokenEncoding.DecodeString(parts[1])
	if err != nil {
		return "", port.Errorf(port.BadToken, "session token payload is not valid base64")
	}
	return string(content), nil
}

func (s Signer) mac(signed string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(signed))
	return h.Sum(nil)
}

// payload returns the fields, separated by commas. Names of organisations and groups contain no comma.
func payload(organisation string, fresh bool, names []string, floors map[string]group.Position) string {
	fields := []string{organisation, resumedMarker}
	if fresh {
		fields[1] = freshMarker
	}
	for _, name := range names {
		fields = append(fields, name+"="+floors[name].String())
	}
	return strings.Join(fields, ",")
}

func parsePayload(content string) (Session, error) {
	fields := strings.Split(content, ",")
	if len(fields) < 2 || (fields[1] != freshMarker && fields[1] != resumedMarker) {
		return Session{}, port.Errorf(port.BadToken, "session token has an invalid payload")
	}
	floors := make(map[string]group.Position, len(fields)-2)
	for _, field := range fields[2:] {
		name, text, _ := strings.Cut(field, "=")
		position, err := group.ParsePosition(text)
		if err != nil {
			return Session{}, port.Wrapf(err, port.BadToken, "session token has an invalid position")
		}
		floors[name] = position
	}
	session := Resume(fields[0], floors)
	session.fresh = fields[1] == freshMarker
	return session, nil
}
