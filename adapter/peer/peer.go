// Package peer implements the calls between instances over connect-go, and forwarded clients over upgraded HTTP
// connections.
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
	// MaxMessageSize limits a message in bytes. It has room for the largest document and the other fields.
	MaxMessageSize = document.MaxSize + 64<<10
	// maxConnsPerInstance limits the connections to one other instance. Calls share HTTP/2 connections, so that one is
	// usual; further ones are opened when all streams of the others are in use.
	maxConnsPerInstance = 16
	// MaxAttestations limits the attestations in a response. In two years there will be 16 data centres.
	MaxAttestations = 256
	// MaxConcurrentCalls limits the calls that an instance handles at the same time. In two years a relay will have about
	// 100 followers, and 200 when the other relay of its data centre fails.
	MaxConcurrentCalls = 1024
	// MinSecretSize is the minimum length of the secret that all instances share, in bytes.
	MinSecretSize = 32

	// compressMinBytes is the size from which messages are compressed. Smaller messages grow when compressed.
	compressMinBytes = 1024
	maxHeaderBytes   = 16 << 10
	idleTimeout      = time.Minute
	dialTimeout      = time.Second

	// pingIdleTimeout is the idle time after which an HTTP/2 ping is sent, and pingTimeout the time to answer it. Together
	// they close a connection that is silent for 2 s, so that the next call opens another one. A Follow call returns within
	// entry.DocumentPollWait, so a connection with a pending one needs no ping.
	pingIdleTimeout = 1200 * time.Millisecond
	pingTimeout     = 800 * time.Millisecond
)

// protocols returns the HTTP versions for which the functions are given. Instances use HTTP/2 because it compresses
// repeated headers: a Follow call without a new revision takes 64 bytes instead of 452.
func protocols(versions ...func(*http.Protocols, bool)) *http.Protocols {
	p := &http.Protocols{}
	for _, set := range versions {
		set(p, true)
	}
	return p
}

// credential returns the Authorization header of calls between instances. It is derived from the shared secret, so that
// the secret itself, which also signs session tokens, is never sent.
func credential(secret []byte) (string, error) {
	if len(secret) < MinSecretSize {
		return "", port.Errorf(port.Invalid, "shared secret has %d bytes, at least %d are required", len(secret), MinSecretSize)
	}
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("rhubarbwick peer 1"))
	return "Bearer " + hex.EncodeToString(h.Sum(nil)), nil
}

// ceilMillis returns a duration in milliseconds. It rounds up, so that a rounded age never makes a document appear
// fresher than it is.
func ceilMillis(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// fromMillis converts milliseconds to a duration of at most one day. Without the limit a large number from another
// instance would overflow time.Duration.
func fromMillis(n uint64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(n, uint64(day/time.Millisecond))) * time.Millisecond
}
