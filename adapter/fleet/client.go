// Package fleet carries knowledge between the instances of one fleet over connect-go.
package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1/fleetv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

const (
	// maxMessage is the greatest size of a message; a document has the same limit.
	maxMessage = 16 << 20
	// maxClients bounds the addresses for which clients are kept. Instances are replaced at other addresses over time.
	maxClients = 512
	// idleTime is how long an unused connection is kept. Instances exchange every second.
	idleTime = 10 * time.Second
)

// Client reaches other instances. Use NewClient.
type Client struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]fleetv1connect.FleetServiceClient
}

var _ proxy.PeerClient = (*Client)(nil)

// NewClient returns a client that opens connections with the dialer.
func NewClient(dialer *net.Dialer) *Client {
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTime, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport}, clients: make(map[string]fleetv1connect.FleetServiceClient)}
}

func (c *Client) at(address string) fleetv1connect.FleetServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, found := c.clients[address]
	if !found {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		client = fleetv1connect.NewFleetServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessage))
		c.clients[address] = client
	}
	return client
}

// failure returns the error of a call. A refused connection does not show that the process is gone: a cut network may
// refuse as well.
func failure(err error, address string) error {
	return port.Wrapf(err, port.Unavailable, "instance at %s", address)
}

// Exchange asks a relay for what it knows.
func (c *Client) Exchange(ctx context.Context, address string, ask proxy.ExchangeRequest) (proxy.ExchangeResponse, error) {
	req := &fleetv1.ExchangeRequest{
		From: encodeMember(ask.From), KnownRevision: uint64(ask.KnownRevision), KnownRecords: ask.KnownRecords, KnownServers: uint64(ask.KnownServers),
		WaitMs: uint32(ask.Wait.Milliseconds()),
	}
	res, err := c.at(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return proxy.ExchangeResponse{}, failure(err, address)
	}
	return decodeReport(res.Msg)
}

// Suspend has the instance stop using the primary of the record's term.
func (c *Client) Suspend(ctx context.Context, address string, p proxy.StoredPrimacy) (port.Version, error) {
	data, err := p.Record.Encode()
	if err != nil {
		return 0, port.Wrapf(err, port.Internal, "the record cannot be encoded")
	}
	req := &fleetv1.SuspendRequest{Record: &fleetv1.Record{Name: p.Record.Group, Version: uint64(p.Version), Data: data}}
	res, err := c.at(address).Suspend(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, failure(err, address)
	}
	return port.Version(res.Msg.GetSettledVersion()), nil
}

// Notify has the instance ask the member for the newest records.
func (c *Client) Notify(ctx context.Context, address string, m proxy.Member) error {
	if _, err := c.at(address).Notify(ctx, connect.NewRequest(&fleetv1.NotifyRequest{From: encodeMember(m)})); err != nil {
		return failure(err, address)
	}
	return nil
}

// Extend asks whether the instance knows of no newer record.
func (c *Client) Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error) {
	req := &fleetv1.ExtendRequest{Versions: make(map[string]uint64, len(versions))}
	for name, version := range versions {
		req.Versions[name] = uint64(version)
	}
	res, err := c.at(address).Extend(ctx, connect.NewRequest(req))
	if err != nil {
		return false, failure(err, address)
	}
	return res.Msg.GetAgreed(), nil
}

// Survey asks how long ago the instance heard from the server.
func (c *Client) Survey(ctx context.Context, address string, q proxy.SurveyRequest) (proxy.SurveyResponse, error) {
	res, err := c.at(address).Survey(ctx, connect.NewRequest(&fleetv1.SurveyRequest{Server: q.Server, Probe: q.Probe, Doubt: q.Suspect}))
	if err != nil {
		return proxy.SurveyResponse{}, failure(err, address)
	}
	return proxy.SurveyResponse{
		Incarnation: res.Msg.GetIncarnation(), Age: millis(res.Msg.GetHeardMs()), HasAnswered: res.Msg.HeardMs != nil,
	}, nil
}

func encodeMember(m proxy.Member) *fleetv1.Member {
	return &fleetv1.Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, DataCentre: m.DataCentre}
}

func decodeMember(m *fleetv1.Member) proxy.Member {
	return proxy.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
	}
}

func decodeReport(m *fleetv1.ExchangeResponse) (proxy.ExchangeResponse, error) {
	r := proxy.ExchangeResponse{
		Held: millis(uint64(m.GetHeldMs())), DocumentAge: millis(m.GetDocumentAgeMs()),
		RecordsVersion: m.GetRecordsVersion(), RecordsAge: millis(m.GetRecordsAgeMs()),
		ReadAge:        millis(m.GetReadAgeMs()),
		ServersVersion: port.Version(m.GetServersVersion()), Fresh: m.GetFresh(),
	}
	if len(m.GetDocument()) > 0 {
		r.Document = &document.Document{}
		if err := json.Unmarshal(m.GetDocument(), r.Document); err != nil {
			return proxy.ExchangeResponse{}, port.Wrapf(err, port.Unavailable, "the relay's document cannot be read")
		}
	}
	for _, o := range m.GetRecords() {
		r.Records = append(r.Records, port.Object{Name: o.GetName(), Version: port.Version(o.GetVersion()), Data: o.GetData()})
	}
	if len(m.GetServers()) > 0 {
		r.Servers = make(map[string]dispatch.Listing, len(m.GetServers()))
		for _, s := range m.GetServers() {
			r.Servers[s.GetName()] = decodeServer(s)
		}
	}
	return r, nil
}

func decodeServer(s *fleetv1.Server) dispatch.Listing {
	l := dispatch.Listing{
		Name: s.GetName(), Group: s.GetGroup(), Address: s.GetAddress(), DataCentre: s.GetDataCentre(),
		Slots: int(s.GetSlots()), Draining: s.GetDeparting(), Incarnation: s.GetBorn(),
	}
	if s.GetPrimary() {
		l.Role = dispatch.Primary
	}
	return l
}

func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// roundUp returns an age in whole milliseconds that is not below d.
func roundUp(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
