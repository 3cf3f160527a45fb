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
	// MinSecretSize is the smallest length of the token secret in bytes, the size of the SHA-256 output.
	MinSecretSize = 32
	// MaxTokenSize is the greatest length of a token in bytes.
	MaxTokenSize = 4096
	// NoWritesToken is what a caller sends instead of a token when it has no earlier writes to see.
	NoWritesToken = "new"

	tokenVersion = "1"
	freshMark    = "fresh"
	carriedMark  = "carried"
)

var tokenEncoding = base64.RawURLEncoding.Strict()

// Signer makes and checks session tokens. Use NewSigner; a zero Signer makes no token and refuses every token.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer with the fleet's token secret.
func NewSigner(secret []byte) (Signer, error) {
	if len(secret) < MinSecretSize {
		return Signer{}, port.Errorf(port.Invalid, "token secret has %d bytes, at least %d are needed", len(secret), MinSecretSize)
	}
	return Signer{secret: slices.Clone(secret)}, nil
}

// Sign returns the session's token. It is empty when the session has nothing to carry or the signer no secret. A
// session with more positions than fit is carried without some of them: reads in those groups see the newest data.
func (s Signer) Sign(session Session) string {
	floors := session.Floors()
	if len(s.secret) == 0 || session.Organisation() == "" || (!session.IsFresh() && len(floors) == 0) {
		return ""
	}
	names := slices.Sorted(maps.Keys(floors))
	token := s.seal(payload(session.Organisation(), session.IsFresh(), names, floors))
	for len(token) > MaxTokenSize {
		names = names[:len(names)*3/4]
		token = s.seal(payload(session.Organisation(), false, names, floors))
	}
	return token
}

// Verify returns the session that a caller of the organisation continues with the text. Empty text is a caller
// without a token, and NewToken one without earlier writes. Errors are of kind BadToken.
func (s Signer) Verify(text, organisation string) (Session, error) {
	switch text {
	case "":
		return New(organisation), nil
	case NoWritesToken:
		return Fresh(organisation), nil
	}
	content, err := s.open(text)
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

// seal returns version, payload and signature, separated by dots.
func (s Signer) seal(content string) string {
	signed := tokenVersion + "." + tokenEncoding.EncodeToString([]byte(content))
	return signed + "." + tokenEncoding.EncodeToString(s.mac(signed))
}

func (s Signer) open(text string) (string, error) {
	if len(s.secret) == 0 {
		return "", port.Errorf(port.BadToken, "session tokens are not set up")
	}
	if len(text) > MaxTokenSize {
		return "", port.Errorf(port.BadToken, "session token has %d bytes, at most %d are allowed", len(text), MaxTokenSize)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return "", port.Errorf(port.BadToken, "session token does not have three parts")
	}
	if parts[0] != tokenVersion {
		return "", port.Errorf(port.BadToken, "session token has an unknown version")
	}
	signature, err := tokenEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(signature, s.mac(parts[0]+"."+parts[1])) {
		return "", port.Errorf(port.BadToken, "session token has a wrong signature")
	}
	content, err := tokenEncoding.DecodeString(parts[1])
	if err != nil {
		return "", port.Errorf(port.BadToken, "session token cannot be decoded")
	}
	return string(content), nil
}

func (s Signer) mac(signed string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(signed))
	return h.Sum(nil)
}

// payload joins the fields with commas. Names of organisations and groups contain none.
func payload(organisation string, fresh bool, names []string, floors map[string]group.Position) string {
	fields := []string{organisation, carriedMark}
	if fresh {
		fields[1] = freshMark
	}
	for _, name := range names {
		fields = append(fields, name+"="+floors[name].String())
	}
	return strings.Join(fields, ",")
}

func parsePayload(content string) (Session, error) {
	fields := strings.Split(content, ",")
	if len(fields) < 2 || (fields[1] != freshMark && fields[1] != carriedMark) {
		return Session{}, port.Errorf(port.BadToken, "session token has an unknown content")
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
	session.fresh = fields[1] == freshMark
	return session, nil
}
