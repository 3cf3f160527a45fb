// Package peer carries the document between instances over connect-go, and forwarded callers over upgraded connections.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MaxMessage bounds a message: the largest document and the fields beside it.
	MaxMessage = document.MaxSize + 64<<10
	// MaxAttestations bounds the vouches of a report. There are 16 data centres in two years.
	MaxAttestations = 256
	// MaxCalls bounds the calls that an instance answers at once. A relay has about 100 followers in two years, and
	// 200 when the other relay of its data centre dies.
	MaxCalls = 1024
	// MinSecretSize is the smallest length of the fleet's secret in bytes.
	MinSecretSize = 32

	// compressFrom is the size in bytes from which messages are compressed. Smaller ones grow.
	compressFrom = 1024
	maxHeader    = 16 << 10
	idleTimeout  = time.Minute
	dialTimeout  = time.Second

	// pingAfter and pingTimeout close a connection that is silent for 2 s, so that the next call opens another one. A poll
	// is answered after entry.DocumentWait at the latest, so a connection with an open poll needs no ping.
	pingAfter   = 1200 * time.Millisecond
	pingTimeout = 800 * time.Millisecond
)

// protocols returns the versions of HTTP between instances. HTTP/2 sends the headers of a connection once: a poll
// without news takes 64 bytes instead of 452.
func protocols(versions ...func(*http.Protocols, bool)) *http.Protocols {
	p := &http.Protocols{}
	for _, set := range versions {
		set(p, true)
	}
	return p
}

// credential returns what an instance shows to another one. It is derived, so that the secret itself, which also
// signs session tokens, is never sent.
func credential(secret []byte) (string, error) {
	if len(secret) < MinSecretSize {
		return "", port.Errorf(port.Invalid, "fleet secret has %d bytes, at least %d are needed", len(secret), MinSecretSize)
	}
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("rhubarbwick peer 1"))
	return "Bearer " + hex.EncodeToString(h.Sum(nil)), nil
}

// ceilMillis rounds up, so that a rounded age never makes a document look fresher.
func ceilMillis(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// millis converts a number of milliseconds. A number beyond a day, which no clock could count in a duration either,
// becomes a day.
func millis(n uint64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(n, uint64(day/time.Millisecond))) * time.Millisecond
}
