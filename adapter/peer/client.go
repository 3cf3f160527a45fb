package peer

import (
	"context"
	"math"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	peerv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/peer/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/peer/v1/peerv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Client calls other instances. Use NewClient; every call of a zero Client fails. The duration of a call is limited by
// its context.
type Client struct {
	http       *http.Client
	credential string
}

var (
	_ entry.RelayClient       = (*Client)(nil)
	_ entry.HomeClient        = (*Client)(nil)
	_ entry.CoordinatorClient = (*Client)(nil)
)

// NewClient returns a client that authenticates with the secret shared by all instances.
func NewClient(secret []byte) (*Client, error) {
	cred, err := credential(secret)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:        maxConnsPerInstance,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
		Protocols:              protocols((*http.Protocols).SetUnencryptedHTTP2),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout},
	}
	return &Client{http: &http.Client{Transport: transport}, credential: cred}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
}

// Follow implements entry.RelayClient.
func (c *Client) Follow(ctx context.Context, address string, r entry.FollowRequest) (entry.FollowResponse, error) {
	relay, err := c.relayClient(address)
	if err != nil {
		return entry.FollowResponse{}, err
	}
	req := connect.NewRequest(&peerv1.FollowRequest{
		KnownRevision: uint64(r.KnownRevision),
		WaitMs:        uint32(r.MaxWait.Milliseconds()),
	})
	req.Header().Set("Authorization", c.credential)
	res, err := relay.Follow(ctx, req)
	if err != nil {
		return entry.FollowResponse{}, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	response, err := decodeFollowResponse(res.Msg)
	return response, port.Wrapf(err, port.Unavailable, "instance %s sent an invalid response", address)
}

// Offer implements entry.RelayClient.
func (c *Client) Offer(ctx context.Context, address string, d document.Document) (document.Revision, error) {
	relay, err := c.relayClient(address)
	if err != nil {
		return 0, err
	}
	data, violations := document.Encode(d)
	if len(violations) > 0 {
		return 0, port.Wrapf(entry.EditViolations(violations), port.Invalid, "cannot encode revision %d", d.Revision)
	}
	req := connect.NewRequest(&peerv1.OfferRequest{Document: data})
	req.Header().Set("Authorization", c.credential)
	res, err := relay.Offer(ctx, req)
	if err != nil {
		return 0, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	return document.Revision(res.Msg.GetRevision()), nil
}

// TakeAt implements entry.HomeClient.
func (c *Client) TakeAt(ctx context.Context, address, limit string) error {
	_, err := c.take(ctx, address, &peerv1.TakeRequest{Limit: limit})
	return err
}

// TakeBatch implements entry.CoordinatorClient.
func (c *Client) TakeBatch(ctx context.Context, address string, r entry.BatchRequest) (allotment.Statements, error) {
	maxStatements := r.Statements / allotment.Statement
	res, err := c.take(ctx, address, &peerv1.TakeRequest{Limit: r.Limit, Batch: &peerv1.TakeRequest_Batch{
		Statements: uint32(min(maxStatements, math.MaxUint32)), Taker: r.Borrower, Number: r.Number, Finished: r.Finished,
	}})
	if err != nil {
		return 0, err
	}
	if res.GetStatements() == 0 {
		// An instance of an earlier version ignores the batch and takes one statement.
		return 0, port.Errorf(port.Unavailable, "instance %s does not support batches", address)
	}
	return allotment.Statements(res.GetStatements()) * allotment.Statement, nil
}

func (c *Client) take(ctx context.Context, address string, msg *peerv1.TakeRequest) (*peerv1.TakeResponse, error) {
	relay, err := c.relayClient(address)
	if err != nil {
		return nil, err
	}
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", c.credential)
	res, err := relay.Take(ctx, req)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	if !res.Msg.GetAdmitted() {
		return nil, port.Errorf(port.OverRate, "limit %s: rate is used up", msg.GetLimit())
	}
	return res.Msg, nil
}

func (c *Client) relayClient(address string) (peerv1connect.RelayServiceClient, error) {
	if c.http == nil {
		return nil, port.Errorf(port.Unavailable, "peer client has no credential")
	}
	return peerv1connect.NewRelayServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageSize),
		connect.WithSendMaxBytes(MaxMessageSize),
		connect.WithCompressMinBytes(compressMinBytes),
	), nil
}

// decodeFollowResponse decodes a response. The document has to be valid and of the revision that the response names.
func decodeFollowResponse(m *peerv1.FollowResponse) (entry.FollowResponse, error) {
	if len(m.GetVouches()) > MaxAttestations {
		return entry.FollowResponse{}, port.Errorf(port.Protocol, "response has %d attestations, at most %d are allowed", len(m.GetVouches()), MaxAttestations)
	}
	response := entry.FollowResponse{
		Revision:  document.Revision(m.GetRevision()),
		Confirmed: m.AgeMs != nil,
		Age:       fromMillis(m.GetAgeMs()),
		WaitTime:  fromMillis(uint64(m.GetHeldMs())),
	}
	for _, v := range m.GetVouches() {
		response.Attestations = append(response.Attestations, entry.Attestation{DataCentre: v.GetDataCentre(), Age: fromMillis(v.GetAgeMs())})
	}
	if len(m.GetPatch()) > 0 {
		patch, violations := document.ParsePatch(m.GetPatch())
		response.Patch = patch
		return response, violationsError(violations, m.GetRevision())
	}
	if len(m.GetDocument()) == 0 {
		return response, nil
	}
	d, violations := document.Parse(m.GetDocument())
	if len(violations) > 0 {
		return entry.FollowResponse{}, violationsError(violations, m.GetRevision())
	}
	if d.Revision != response.Revision {
		return entry.FollowResponse{}, port.Errorf(port.Protocol, "document has revision %d, the response names %d", d.Revision, response.Revision)
	}
	response.Document = d
	return response, nil
}

func violationsError(violations []document.Violation, revision uint64) error {
	if len(violations) == 0 {
		return nil
	}
	return port.Wrapf(entry.EditViolations(violations), port.Protocol, "revision %d is invalid", revision)
}
