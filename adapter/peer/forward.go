package peer

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Paths and headers of forwarding connections.
const (
	forwardPath = "/forward"
	cancelPath  = "/forward/cancel"
	alivePath   = "/forward/alive"

	forwardProtocol = "rhubarbwick-forward"
	openingHeader   = "Rhubarbwick-Opening"
	kindHeader      = "Rhubarbwick-Kind"
	reasonHeader    = "Rhubarbwick-Reason"
	numberHeader    = "Rhubarbwick-Number"
	secretHeader    = "Rhubarbwick-Secret"
)

// keepAlive ends the connection to a machine that has gone within about 8 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// openingMessage is the JSON form of an entry.Opening.
type openingMessage struct {
	Organisation string `json:"organisation"`
	KeyID        string `json:"key_id,omitempty"`
	KeyHash      string `json:"key_hash,omitempty"`
	Route        string `json:"route"`
	ReadOnly     bool   `json:"read_only,omitempty"`
	Token        string `json:"token,omitempty"`
	Carried      bool   `json:"carried,omitempty"`
	Revision     uint64 `json:"revision"`
}

// encodeOpening returns the value of the opening header.
func encodeOpening(o entry.ForwardRequest) (string, error) {
	data, err := json.Marshal(openingMessage{
		Organisation: o.Organisation, KeyID: o.KeyID, KeyHash: o.KeyHash, Route: o.Route, ReadOnly: o.ReadOnly,
		Token: o.Token, Carried: o.HasKnownWrites, Revision: uint64(o.Revision),
	})
	return base64.StdEncoding.EncodeToString(data), port.Wrapf(err, port.Internal, "the opening cannot be encoded")
}

func parseOpening(text string) (entry.ForwardRequest, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return entry.ForwardRequest{}, port.Wrapf(err, port.Protocol, "the opening is not in base64")
	}
	var m openingMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return entry.ForwardRequest{}, port.Wrapf(err, port.Protocol, "the opening is not JSON")
	}
	return entry.ForwardRequest{
		Organisation: m.Organisation, KeyID: m.KeyID, KeyHash: m.KeyHash, Route: m.Route, ReadOnly: m.ReadOnly,
		Token: m.Token, HasKnownWrites: m.Carried, Revision: document.Revision(m.Revision),
	}, nil
}

func encodeSecret(secret []byte) string { return base64.StdEncoding.EncodeToString(secret) }

func parseSecret(number, secret string) (uint32, []byte, error) {
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return 0, nil, port.Wrapf(err, port.Protocol, "number %q of a forwarded caller is invalid", number)
	}
	data, err := base64.StdEncoding.DecodeString(secret)
	return uint32(n), data, port.Wrapf(err, port.Protocol, "the secret of a forwarded caller is not in base64")
}
