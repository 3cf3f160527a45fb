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
	pingPath    = "/forward/alive"

	forwardProtocol      = "rhubarbwick-forward"
	forwardRequestHeader = "Rhubarbwick-Opening"
	kindHeader           = "Rhubarbwick-Kind"
	reasonHeader         = "Rhubarbwick-Reason"
	numberHeader         = "Rhubarbwick-Number"
	secretHeader         = "Rhubarbwick-Secret"
)

// keepAlive closes a connection within about 8 s after the other machine has disappeared.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// forwardRequestJSON is the JSON form of an entry.ForwardRequest.
type forwardRequestJSON struct {
	Organisation   string `json:"organisation"`
	KeyID          string `json:"key_id,omitempty"`
	KeyHash        string `json:"key_hash,omitempty"`
	Route          string `json:"route"`
	ReadOnly       bool   `json:"read_only,omitempty"`
	Token          string `json:"token,omitempty"`
	HasKnownWrites bool   `json:"carried,omitempty"`
	Revision       uint64 `json:"revision"`
}

// encodeForwardRequest returns the value of the forward request header.
func encodeForwardRequest(r entry.ForwardRequest) (string, error) {
	data, err := json.Marshal(forwardRequestJSON{
		Organisation: r.Organisation, KeyID: r.KeyID, KeyHash: r.KeyHash, Route: r.Route, ReadOnly: r.ReadOnly,
		Token: r.Token, HasKnownWrites: r.HasKnownWrites, Revision: uint64(r.Revision),
	})
	return base64.StdEncoding.EncodeToString(data), port.Wrapf(err, port.Internal, "cannot encode the forward request")
}

func parseForwardRequest(text string) (entry.ForwardRequest, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return entry.ForwardRequest{}, port.Wrapf(err, port.Protocol, "forward request is not valid base64")
	}
	var m forwardRequestJSON
	if err := json.Unmarshal(data, &m); err != nil {
		return entry.ForwardRequest{}, port.Wrapf(err, port.Protocol, "forward request is not valid JSON")
	}
	return entry.ForwardRequest{
		Organisation: m.Organisation, KeyID: m.KeyID, KeyHash: m.KeyHash, Route: m.Route, ReadOnly: m.ReadOnly,
		Token: m.Token, HasKnownWrites: m.HasKnownWrites, Revision: document.Revision(m.Revision),
	}, nil
}

func encodeSecret(secret []byte) string { return base64.StdEncoding.EncodeToString(secret) }

func parseSecret(number, secret string) (uint32, []byte, error) {
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return 0, nil, port.Wrapf(err, port.Protocol, "number %q of a forwarded client is invalid", number)
	}
	data, err := base64.StdEncoding.DecodeString(secret)
	return uint32(n), data, port.Wrapf(err, port.Protocol, "secret of a forwarded client is not valid base64")
}
