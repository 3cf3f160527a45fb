package serve

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/entry"
)

// forwardHandler passes forwarded clients from the peer server to the PostgreSQL listener.
type forwardHandler struct{ listener *postgres.Listener }

var _ peer.ForwardHandler = forwardHandler{}

func (r forwardHandler) Authorize(ctx context.Context, req entry.ForwardRequest) (peer.ForwardedClient, error) {
	client, err := r.listener.AuthorizeForwarded(ctx, req)
	if err != nil {
		return nil, err
	}
	return client, nil
}

func (r forwardHandler) Cancel(number uint32, secret []byte) {
	r.listener.CancelForwarded(number, secret)
}

// assembleForwarding creates the router, which forwards clients. It reports the groups that this instance serves to the
// limit manager, which keeps connection ledgers for these groups only.
func (p *process) assembleForwarding(client entry.ForwardClient) {
	p.router = entry.NewRouter(entry.RouterConfig{
		Self: p.self, Timer: p.timer, Client: client, OnServedGroups: p.limitManager.SetServedGroups,
	})
}
