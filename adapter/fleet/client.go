// Package fleet implements the calls between the instances of a fleet over connect-go.
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
	// maxMessageSize is the maximum size of a message in bytes. A document has the same limit.
	maxMessageSize = 16 << 20
	// maxClients is the maximum number of addresses for which clients are cached. Over time, instances are replaced by
	// others with new addresses.
	maxClients = 512
	// dialTimeout limits how long connecting to an instance may take. It is far above the round-trip time between data
	// centres. A machine without power drops the first packet, which is sent again only after a second.
	dialTimeout = 200 * time.Millisecond
	// idleConnTimeout is how long an idle connection is kept. Instances call each other every second.
	idleConnTimeout = 10 * time.Second
)

// Client calls other instances. Use NewClient.
type Client struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]fleetv1connect.FleetServiceClient
}

var _ proxy.PeerClient = (*Client)(nil)

// NewClient returns a client that opens connections with the dialer. It sets the dialer's timeout.
func NewClient(dialer *net.Dialer) *Client {
	dialer.Timeout = dialTimeout
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport}, clients: make(map[string]fleetv1connect.FleetServiceClient)}
}

func (c *Client) clientFor(address string) fleetv1connect.FleetServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, found := c.clients[address]
	if !found {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		client = fleetv1connect.NewFleetServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageSize))
		c.clients[address] = client
	}
	return client
}

// callError wraps the error of a call. All errors have the kind Unavailable: a refused connection does not prove that the
// process has ended, because a network failure can refuse connections as well.
func callError(err error, address string) error {
	return port.Wrapf(err, port.Unavailable, "call to the instance at %s", address)
}

// Exchange asks a relay for newer state.
func (c *Client) Exchange(ctx context.Context, address string, req proxy.ExchangeRequest) (proxy.ExchangeResponse, error) {
	msg := &fleetv1.ExchangeRequest{
		From: encodeMember(req.From), KnownRevision: uint64(req.KnownRevision), KnownRecords: req.KnownRecords, KnownServers: uint64(req.KnownServers),
		WaitMs: uint32(req.Wait.Milliseconds()), KnownMaintenance: encodeVersion(req.KnownMaintenance),
	}
	res, err := c.clientFor(address).Exchange(ctx, connect.NewRequest(msg))
	if err != nil {
		return proxy.ExchangeResponse{}, callError(err, address)
	}
	return decodeExchangeResponse(res.Msg)
}

// Suspend makes the instance stop using the primary of the record's term.
func (c *Client) Suspend(ctx context.Context, address string, p proxy.StoredPrimacy) (port.Version, error) {
	data, err := p.Record.Encode()
	if err != nil {
		return 0, port.Wrapf(err, port.Internal, "cannot encode the record")
	}
	req := &fleetv1.SuspendRequest{Record: &fleetv1.Record{Name: p.Record.Group, Version: uint64(p.Version), Data: data}}
	res, err := c.clientFor(address).Suspend(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, callError(err, address)
	}
	return port.Version(res.Msg.GetSettledVersion()), nil
}

// Notify makes the instance fetch the newest records from the member.
func (c *Client) Notify(ctx context.Context, address string, m proxy.Member) error {
	if _, err := c.clientFor(address).Notify(ctx, connect.NewRequest(&fleetv1.NotifyRequest{From: encodeMember(m)})); err != nil {
		return callError(err, address)
	}
	return nil
}

// Extend reports whether the instance knows of no newer record than the given versions.
func (c *Client) Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error) {
	req := &fleetv1.ExtendRequest{Versions: make(map[string]uint64, len(versions))}
	for name, version := range versions {
		req.Versions[name] = uint64(version)
	}
	res, err := c.clientFor(address).Extend(ctx, connect.NewRequest(req))
	if err != nil {
		return false, callError(err, address)
	}
	return res.Msg.GetAgreed(), nil
}

// Survey asks when the instance last had a response from the server.
func (c *Client) Survey(ctx context.Context, address string, req proxy.SurveyRequest) (proxy.SurveyResponse, error) {
	res, err := c.clientFor(address).Survey(ctx, connect.NewRequest(&fleetv1.SurveyRequest{Server: req.Server, Probe: req.Probe, Doubt: req.Suspect, WantsLoad: req.WantsLoad}))
	if err != nil {
		return proxy.SurveyResponse{}, callError(err, address)
	}
	return proxy.SurveyResponse{
		Incarnation: res.Msg.GetIncarnation(), Age: milliseconds(res.Msg.GetHeardMs()), HasAnswered: res.Msg.HeardMs != nil,
		Load: decodePoolLoad(res.Msg.GetLoad()),
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

func decodeExchangeResponse(m *fleetv1.ExchangeResponse) (proxy.ExchangeResponse, error) {
	r := proxy.ExchangeResponse{
		Held: milliseconds(uint64(m.GetHeldMs())), DocumentAge: milliseconds(m.GetDocumentAgeMs()),
		RecordsVersion: m.GetRecordsVersion(), RecordsAge: milliseconds(m.GetRecordsAgeMs()),
		ReadAge:        milliseconds(m.GetReadAgeMs()),
		ServersVersion: port.Version(m.GetServersVersion()), Fresh: m.GetFresh(), Maintenance: decodeMaintenance(m.GetMaintenance()),
		ServersAge: milliseconds(m.GetServersAgeMs()), MaintenanceAge: milliseconds(m.GetMaintenanceAgeMs()), Path: m.GetPath(),
	}
	if len(m.GetDocument()) > 0 {
		r.Document = &document.Document{}
		if err := json.Unmarshal(m.GetDocument(), r.Document); err != nil {
			return proxy.ExchangeResponse{}, port.Wrapf(err, port.Unavailable, "cannot decode the relay's document")
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
		Slots: int(s.GetSlots()), Draining: s.GetDeparting(), Incarnation: s.GetBorn(), Cold: s.GetCold(),
	}
	if s.GetPrimary() {
		l.Role = dispatch.Primary
	}
	return l
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// ceilMilliseconds rounds d up to whole milliseconds.
func ceilMilliseconds(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
