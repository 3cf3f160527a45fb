package serve

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/entry"
)

// receiver lets the peer port take forwarded callers for the listener.
type receiver struct{ listener *postgres.Listener }

var _ peer.Receiver = receiver{}

func (r receiver) Admit(ctx context.Context, o entry.ForwardRequest) (peer.Admitted, error) {
	admitted, err := r.listener.AuthorizeForwarded(ctx, o)
	if err != nil {
		return nil, err
	}
	return admitted, nil
}

func (r receiver) Cancel(number uint32, secret []byte) { r.listener.CancelForwarded(number, secret) }

// assembleForwarding makes the part that forwards callers. The ledgers of connections follow the groups served.
func (p *process) assembleForwarding(client entry.ForwardClient) {
	p.router = entry.NewRouter(entry.RouterConfig{
		Self: p.self, Timer: p.timer, Client: client, OnServedGroups: p.keeper.SetServedGroups,
	})
}
