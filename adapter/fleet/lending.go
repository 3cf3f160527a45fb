package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1/fleetv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// dialOwnerLimit is how long a connection to an owner may take. It is far above the way between data centres, and short
// enough for the statement to be placed elsewhere.
const dialOwnerLimit = 250 * time.Millisecond

// LendingClient borrows connections from the pools of other instances, and operations from their reserves of rates. All calls to
// one instance share one connection to it.
// Use NewLending.
type LendingClient struct {
	dialer *net.Dialer

	mu     sync.Mutex
	owners map[string]*ownerClient
}

var (
	_ proxy.RemotePools        = (*LendingClient)(nil)
	_ proxy.RemoteRateReserves = (*LendingClient)(nil)
)

// NewLendingClient returns a lending that opens connections with the dialer.
func NewLendingClient(dialer *net.Dialer) *LendingClient {
	dialer.Timeout = dialOwnerLimit
	return &LendingClient{dialer: dialer, owners: make(map[string]*ownerClient)}
}

// ownerClient reaches one owner. ctx ends when the owner is given up.
type ownerClient struct {
	ctx       context.Context
	cancel    context.CancelFunc
	transport *http.Transport
	client    fleetv1connect.FleetServiceClient
}

func (l *LendingClient) newOwner(address string) *ownerClient {
	var protocols http.Protocols
	// Only HTTP/2 carries streams in both directions.
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: l.dialer.DialContext, IdleConnTimeout: idleTime, DisableCompression: true, Protocols: &protocols,
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &ownerClient{
		ctx: ctx, cancel: cancel, transport: transport,
		client: fleetv1connect.NewFleetServiceClient(
			&http.Client{Transport: transport}, "http://"+address, connect.WithReadMaxBytes(maxMessage)),
	}
}

func (o *ownerClient) close() {
	o.cancel()
	o.transport.CloseIdleConnections()
}

// at returns the client of the instance at the address.
func (l *LendingClient) at(address string) *ownerClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, found := l.owners[address]
	if !found {
		if len(l.owners) >= maxClients {
			l.closeAll()
		}
		o = l.newOwner(address)
		l.owners[address] = o
	}
	return o
}

// Borrow returns a loan from the owner.
func (l *LendingClient) Borrow(owner proxy.Member, terms proxy.LoanTerms) proxy.RemoteLoan {
	return &loan{owner: l.at(owner.Address), terms: terms}
}

// TakeRate takes one operation from the lender's reserve.
func (l *LendingClient) TakeRate(ctx context.Context, lender proxy.Member, organisation string) (bool, error) {
	req := connect.NewRequest(&fleetv1.TakeRateRequest{Organisation: organisation})
	res, err := l.at(lender.Address).client.TakeRate(ctx, req)
	if err != nil {
		return false, failure(err, lender.Address)
	}
	return res.Msg.GetGranted(), nil
}

// closeAll gives every owner up. The lock is held.
func (l *LendingClient) closeAll() {
	for address, o := range l.owners {
		o.close()
		delete(l.owners, address)
	}
}

// Abort ends all loans from the owner. The next loan uses another connection.
func (l *LendingClient) Abort(owner proxy.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, found := l.owners[owner.Address]; found {
		o.close()
		delete(l.owners, owner.Address)
	}
}

// Close ends all loans.
func (l *LendingClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
}

// loan is one stream to the owner of a pool.
type loan struct {
	owner  *ownerClient
	terms  proxy.LoanTerms
	stream *connect.BidiStreamForClient[fleetv1.LendRequest, fleetv1.LendResponse]
	cancel context.CancelFunc
}

// Run has the owner run the steps.
func (l *loan) Run(ctx context.Context, values statement.SessionState, steps []statement.Step) ([]statement.Result, error) {
	encoded, err := encodeSteps(steps)
	if err != nil {
		return nil, &proxy.NotSentError{Err: err}
	}
	req := &fleetv1.LendRequest{Values: encodeValues(values), Steps: encoded}
	if l.stream == nil {
		req.Terms = encodeTerms(l.terms)
		var streamCtx context.Context
		streamCtx, l.cancel = context.WithCancel(l.owner.ctx)
		l.stream = l.owner.client.Lend(streamCtx)
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.stream.Send(req); err != nil {
		// The cause is told to whoever receives.
		_, received := l.stream.Receive()
		return nil, l.failure(errors.Join(err, received))
	}
	res, err := l.stream.Receive()
	if err != nil {
		return nil, l.failure(err)
	}
	return decodeResult(res)
}

// failure tells an owner to which there is no connection, so that it has nothing, from one whose answer was lost.
func (l *loan) failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &proxy.NotSentError{Err: port.Wrapf(err, port.Unavailable, "the owner of the pool cannot be reached"), OwnerUnavailable: true}
	}
	return port.Wrapf(err, port.Unavailable, "the owner of the pool did not answer")
}

// Close ends the loan. It does not wait for the end of the stream, which may never come from an owner that is gone.
func (l *loan) Close() {
	if l.stream == nil {
		return
	}
	l.cancel()
	// Without it the transport waits for the next message of an open request and does not notice the cancelled context.
	_ = l.stream.CloseRequest()
}

// lender is the part of the product that lends connections.
type lender interface {
	Lend(ctx context.Context, stream proxy.LoanStream) error
}

// rateLender is the part of the product that lends operations.
type rateLender interface {
	Take(organisation string) bool
}

// TakeRate lends an operation of this instance's reserve.
func (s *Server) TakeRate(
	_ context.Context, req *connect.Request[fleetv1.TakeRateRequest],
) (*connect.Response[fleetv1.TakeRateResponse], error) {
	return connect.NewResponse(&fleetv1.TakeRateResponse{Granted: s.rates.Take(req.Msg.GetOrganisation())}), nil
}

// Lend lends a connection of this instance's pool.
func (s *Server) Lend(ctx context.Context, stream *connect.BidiStream[fleetv1.LendRequest, fleetv1.LendResponse]) error {
	if err := s.lender.Lend(ctx, loanStream{stream}); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}

// loanStream is the owner's end of a loan.
type loanStream struct {
	stream *connect.BidiStream[fleetv1.LendRequest, fleetv1.LendResponse]
}

// Receive returns the borrower's next request.
func (l loanStream) Receive() (proxy.LoanRequest, error) {
	m, err := l.stream.Receive()
	if err != nil {
		return proxy.LoanRequest{}, err
	}
	steps, err := decodeSteps(m.GetSteps())
	return proxy.LoanRequest{Terms: decodeTerms(m.GetTerms()), State: decodeValues(m.GetValues()), Steps: steps}, err
}

// Send sends what came of a request.
func (l loanStream) Send(r proxy.LoanResult) error { return l.stream.Send(encodeResult(r)) }
