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

// ownerDialTimeout bounds the time to connect to the owner of a pool. It is far above the round-trip time between data
// centres, and leaves enough time to run the statement on another connection.
const ownerDialTimeout = 250 * time.Millisecond

// LendingClient borrows connections from the pools of other instances and takes operations from their rate reserves.
// All calls to an instance share one connection.
type LendingClient struct {
	dialer *net.Dialer

	mu     sync.Mutex
	owners map[string]*ownerClient
}

var (
	_ proxy.RemotePools        = (*LendingClient)(nil)
	_ proxy.RemoteRateReserves = (*LendingClient)(nil)
)

// NewLendingClient returns a client that opens connections with the dialer. It sets the dialer's timeout.
func NewLendingClient(dialer *net.Dialer) *LendingClient {
	dialer.Timeout = ownerDialTimeout
	return &LendingClient{dialer: dialer, owners: make(map[string]*ownerClient)}
}

// ownerClient calls one pool owner. ctx is cancelled when the client is closed, which ends its loans.
type ownerClient struct {
	ctx       context.Context
	cancel    context.CancelFunc
	transport *http.Transport
	client    fleetv1connect.FleetServiceClient
}

func (l *LendingClient) newOwnerClient(address string) *ownerClient {
	var protocols http.Protocols
	// Bidirectional streams need HTTP/2.
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: l.dialer.DialContext, IdleConnTimeout: idleConnTimeout, DisableCompression: true, Protocols: &protocols,
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &ownerClient{
		ctx: ctx, cancel: cancel, transport: transport,
		client: fleetv1connect.NewFleetServiceClient(
			&http.Client{Transport: transport}, "http://"+address, connect.WithReadMaxBytes(maxMessageSize)),
	}
}

func (o *ownerClient) close() {
	o.cancel()
	o.transport.CloseIdleConnections()
}

// ownerAt returns the client for the instance at the address.
func (l *LendingClient) ownerAt(address string) *ownerClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, found := l.owners[address]
	if !found {
		if len(l.owners) >= maxClients {
			l.closeAll()
		}
		o = l.newOwnerClient(address)
		l.owners[address] = o
	}
	return o
}

// Borrow returns a loan from the owner. The stream is opened by the first run.
func (l *LendingClient) Borrow(owner proxy.Member, terms proxy.LoanTerms) proxy.RemoteLoan {
	return &loan{owner: l.ownerAt(owner.Address), terms: terms}
}

// TakeRate takes one operation from the holder's reserve.
func (l *LendingClient) TakeRate(ctx context.Context, holder proxy.Member, organisation string) (bool, error) {
	req := connect.NewRequest(&fleetv1.TakeRateRequest{Organisation: organisation})
	res, err := l.ownerAt(holder.Address).client.TakeRate(ctx, req)
	if err != nil {
		return false, callError(err, holder.Address)
	}
	return res.Msg.GetGranted(), nil
}

// closeAll closes all owner clients. The caller must hold mu.
func (l *LendingClient) closeAll() {
	for address, o := range l.owners {
		o.close()
		delete(l.owners, address)
	}
}

// Abort ends all loans from the owner. The next loan uses a new connection.
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

// loan is a stream to the owner of a pool.
type loan struct {
	owner  *ownerClient
	terms  proxy.LoanTerms
	stream *connect.BidiStreamForClient[fleetv1.LendRequest, fleetv1.LendResponse]
	cancel context.CancelFunc
}

// Run makes the owner run the steps on the borrowed connection.
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
		// The cause of a failed Send is returned by Receive.
		_, receiveErr := l.stream.Receive()
		return nil, l.runError(errors.Join(err, receiveErr))
	}
	res, err := l.stream.Receive()
	if err != nil {
		return nil, l.runError(err)
	}
	return decodeLendResponse(res)
}

// runError distinguishes a failed dial, after which the owner cannot have received the steps, from a lost response.
func (l *loan) runError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &proxy.NotSentError{Err: port.Wrapf(err, port.Unavailable, "the pool owner cannot be reached"), OwnerUnavailable: true}
	}
	return port.Wrapf(err, port.Unavailable, "the pool owner did not answer")
}

// Close ends the loan. It does not wait for the owner to end the stream, because an owner that has failed never does.
func (l *loan) Close() {
	if l.stream == nil {
		return
	}
	l.cancel()
	// Without CloseRequest, the transport waits for the next message of the open request and does not notice the cancelled
	// context.
	_ = l.stream.CloseRequest()
}

// loanService lends connections to other instances.
type loanService interface {
	Lend(ctx context.Context, stream proxy.LoanStream) error
}

// rateReserve provides operations to other instances.
type rateReserve interface {
	Take(organisation string) bool
}

// TakeRate takes an operation from this instance's reserve.
func (s *Server) TakeRate(
	_ context.Context, req *connect.Request[fleetv1.TakeRateRequest],
) (*connect.Response[fleetv1.TakeRateResponse], error) {
	return connect.NewResponse(&fleetv1.TakeRateResponse{Granted: s.rates.Take(req.Msg.GetOrganisation())}), nil
}

// Lend lends a connection from this instance's pool.
func (s *Server) Lend(ctx context.Context, stream *connect.BidiStream[fleetv1.LendRequest, fleetv1.LendResponse]) error {
	if err := s.loans.Lend(ctx, loanStream{stream}); err != nil {
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

// Send sends the result of a request.
func (l loanStream) Send(r proxy.LoanResult) error { return l.stream.Send(encodeLendResponse(r)) }
