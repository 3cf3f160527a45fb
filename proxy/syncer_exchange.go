package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// exchange requests newer state from a relay and applies it.
func (c *Syncer) exchange(ctx context.Context, relay Member, wait time.Duration) (ExchangeResponse, error) {
	state := c.cfg.State
	index, _ := state.CurrentDocument()
	_, serversVersion := state.Servers()
	records, _ := state.Records()
	requestedAt := c.cfg.Timer.Now()
	timeout := exchangeTimeout
	if !state.IsComplete() {
		timeout = firstExchangeTimeout
	}
	callCtx, cancel := port.WithTimeout(ctx, c.cfg.Timer, wait+timeout)
	defer cancel()
	response, err := c.cfg.Peers.Exchange(callCtx, relay.Address, ExchangeRequest{
		From: c.cfg.Self, KnownRevision: index.Document().Revision, KnownRecords: records.Version(), KnownServers: serversVersion, Wait: wait,
		KnownMaintenance: state.MaintenanceVersion(),
	})
	if err != nil {
		return ExchangeResponse{}, err
	}
	c.applyResponse(response, requestedAt)
	return response, nil
}

// applyResponse applies a response. Its ages are relative to the time at which it was sent, which is at the earliest
// the time of the request plus the time that the relay held it.
func (c *Syncer) applyResponse(r ExchangeResponse, requestedAt time.Duration) {
	state := c.cfg.State
	sentAt := requestedAt + r.Held
	if r.Document != nil {
		state.SetDocument(*r.Document, sentAt-r.DocumentAge)
	} else {
		index, _ := state.CurrentDocument()
		state.ConfirmDocument(index.Document().Revision, sentAt-r.DocumentAge)
	}
	if r.Servers != nil {
		state.AdoptServers(r.Servers, r.ServersVersion)
	}
	state.ConfirmServers(sentAt - r.ServersAge)
	if r.Maintenance != nil {
		state.SetMaintenance(*r.Maintenance)
		state.ConfirmMaintenance(sentAt - r.MaintenanceAge)
	}
	records, known := state.Records()
	switch {
	case r.Records != nil:
		records = NewSnapshot(r.Records, sentAt-r.ReadAge)
	case !known || records.Version() != r.RecordsVersion:
		return
	default:
		records = records.WithReadAt(sentAt - r.ReadAge)
	}
	state.SetRecords(records.WithRequestedAt(sentAt - r.RecordsAge))
}
