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

// Client calls other instances. Use NewClient; a zero Client refuses every call. Callers bound the time of a call
// through its context.
type Client struct {
	http       *http.Client
	credential string
}

var (
	_ entry.RelayClient       = (*Client)(nil)
	_ entry.HomeClient        = (*Client)(nil)
	_ entry.CoordinatorClient = (*Client)(nil)
)

// NewClient returns a client that shows the fleet's secret.
func NewClient(secret []byte) (*Client, error) {
	shown, err := credential(secret)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:        MaxAttestations,
		MaxResponseHeaderBytes: maxHeader,
		IdleConnTimeout:        idleTimeout,
		Protocols:              protocols((*http.Protocols).SetUnencryptedHTTP2),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{http: &http.Client{Transport: transport}, credential: shown}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
}

// Follow asks the instance at the address for the document.
func (c *Client) Follow(ctx context.Context, address string, poll entry.FollowRequest) (entry.FollowResponse, error) {
	calls, err := c.calls(address)
	if err != nil {
		return entry.FollowResponse{}, err
	}
	req := connect.NewRequest(&peerv1.FollowRequest{
		KnownRevision: uint64(poll.KnownRevision),
		WaitMs:        uint32(poll.MaxWait.Milliseconds()),
	})
	req.Header().Set("Authorization", c.credential)
	res, err := calls.Follow(ctx, req)
	if err != nil {
		return entry.FollowResponse{}, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	report, err := reportOf(res.Msg)
	return report, port.Wrapf(err, port.Unavailable, "instance %s gave a faulty answer", address)
}

// Offer hands a document to the instance at the address.
func (c *Client) Offer(ctx context.Context, address string, d document.Document) (document.Revision, error) {
	calls, err := c.calls(address)
	if err != nil {
		return 0, err
	}
	data, faults := document.Encode(d)
	if len(faults) > 0 {
		return 0, port.Wrapf(entry.EditViolations(faults), port.Invalid, "revision %d cannot be sent", d.Revision)
	}
	req := connect.NewRequest(&peerv1.OfferRequest{Document: data})
	req.Header().Set("Authorization", c.credential)
	res, err := calls.Offer(ctx, req)
	if err != nil {
		return 0, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	return document.Revision(res.Msg.GetRevision()), nil
}

// TakeAt takes one statement from the limit at the instance of the address.
func (c *Client) TakeAt(ctx context.Context, address, limit string) error {
	_, err := c.take(ctx, address, &peerv1.TakeRequest{Limit: limit})
	return err
}

// TakeBatch takes a batch from the limit at the instance of the address.
func (c *Client) TakeBatch(ctx context.Context, address string, ask entry.BatchRequest) (allotment.Statements, error) {
	most := ask.Statements / allotment.Statement
	res, err := c.take(ctx, address, &peerv1.TakeRequest{Limit: ask.Limit, Batch: &peerv1.TakeRequest_Batch{
		Statements: uint32(min(most, math.MaxUint32)), Taker: ask.Borrower, Number: ask.Number, Finished: ask.Finished,
	}})
	if err != nil {
		return 0, err
	}
	if res.GetStatements() == 0 {
		// An instance of an earlier version takes one statement and knows no batches.
		return 0, port.Errorf(port.Unavailable, "instance %s gives no batches", address)
	}
	return allotment.Statements(res.GetStatements()) * allotment.Statement, nil
}

func (c *Client) take(ctx context.Context, address string, msg *peerv1.TakeRequest) (*peerv1.TakeResponse, error) {
	calls, err := c.calls(address)
	if err != nil {
		return nil, err
	}
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", c.credential)
	res, err := calls.Take(ctx, req)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	if !res.Msg.GetAdmitted() {
		return nil, port.Errorf(port.OverRate, "limit %s: rate is used up", msg.GetLimit())
	}
	return res.Msg, nil
}

func (c *Client) calls(address string) (peerv1connect.RelayServiceClient, error) {
	if c.http == nil {
		return nil, port.Errorf(port.Unavailable, "the client knows no fleet secret")
	}
	return peerv1connect.NewRelayServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(MaxMessage),
		connect.WithSendMaxBytes(MaxMessage),
		connect.WithCompressMinBytes(compressFrom),
	), nil
}

// reportOf checks an answer. A document must be without faults and of the revision that the answer names.
func reportOf(m *peerv1.FollowResponse) (entry.FollowResponse, error) {
	if len(m.GetVouches()) > MaxAttestations {
		return entry.FollowResponse{}, port.Errorf(port.Protocol, "%d vouches, at most %d are allowed", len(m.GetVouches()), MaxAttestations)
	}
	report := entry.FollowResponse{
		Revision:  document.Revision(m.GetRevision()),
		Confirmed: m.AgeMs != nil,
		Age:       millis(m.GetAgeMs()),
		WaitTime:  millis(uint64(m.GetHeldMs())),
	}
	for _, v := range m.GetVouches() {
		report.Attestations = append(report.Attestations, entry.Attestation{DataCentre: v.GetDataCentre(), Age: millis(v.GetAgeMs())})
	}
	if len(m.GetPatch()) > 0 {
		patch, faults := document.ParsePatch(m.GetPatch())
		report.Patch = patch
		return report, faultsOf(faults, m.GetRevision())
	}
	if len(m.GetDocument()) == 0 {
		return report, nil
	}
	d, faults := document.Parse(m.GetDocument())
	if len(faults) > 0 {
		return entry.FollowResponse{}, faultsOf(faults, m.GetRevision())
	}
	if d.Revision != report.Revision {
		return entry.FollowResponse{}, port.Errorf(port.Protocol, "document has revision %d, the answer names %d", d.Revision, report.Revision)
	}
	report.Document = d
	return report, nil
}

func faultsOf(faults []document.Violation, revision uint64) error {
	if len(faults) == 0 {
		return nil
	}
	return port.Wrapf(entry.EditViolations(faults), port.Protocol, "revision %d has faults", revision)
}
