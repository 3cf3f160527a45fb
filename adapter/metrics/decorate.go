package metrics

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

const (
	servedByReplica = "replica"
	servedByPrimary = "primary"
	resultOK        = "ok"
)

// Authorizer counts what another Gate decides.
type Authorizer struct {
	next    entry.Authorizer
	metrics *Metrics
}

// ServerSelector counts where another Director places requests.
type ServerSelector struct {
	next    entry.ServerSelector
	metrics *Metrics
}

// Store counts the calls to another Store.
type Store struct {
	next    port.Store
	metrics *Metrics
}

var (
	_ entry.Authorizer     = (*Authorizer)(nil)
	_ entry.ServerSelector = (*ServerSelector)(nil)
	_ port.Store           = (*Store)(nil)
)

// Authorizer returns a gate that counts.
func (m *Metrics) Authorizer(next entry.Authorizer) *Authorizer {
	return &Authorizer{next: next, metrics: m}
}

// ServerSelector returns a director that counts.
func (m *Metrics) ServerSelector(next entry.ServerSelector) *ServerSelector {
	return &ServerSelector{next: next, metrics: m}
}

// Store returns a store that counts.
func (m *Metrics) Store(next port.Store) *Store { return &Store{next: next, metrics: m} }

// Authorize counts refused start-ups. Their organisation is not counted, because it is whatever the caller claims.
func (g *Authorizer) Authorize(ctx context.Context, c entry.Credentials) (entry.Client, error) {
	admitted, err := g.next.Authorize(ctx, c)
	if err != nil {
		g.metrics.refusals.WithLabelValues("start_up", string(port.KindOf(err))).Inc()
	}
	return admitted, err
}

// AuthorizeStatement counts the requests of admitted organisations.
func (g *Authorizer) AuthorizeStatement(ctx context.Context, c entry.Client) (entry.Client, error) {
	spent, err := g.next.AuthorizeStatement(ctx, c)
	g.metrics.countOrganisation(c.Organisation, resultOf(err))
	return spent, err
}

// Token returns the text of the session's token.
func (g *Authorizer) Token(s session.Session) string { return g.next.Token(s) }

// SelectServer counts the reads by the role of their server, and the callers that wait.
func (d *ServerSelector) SelectServer(ctx context.Context, c entry.Client) (entry.Target, error) {
	d.metrics.placing.Inc()
	defer d.metrics.placing.Dec()
	target, err := d.next.SelectServer(ctx, c)
	if err == nil && c.Read {
		role := servedByPrimary
		if target.Replica {
			role = servedByReplica
		}
		d.metrics.reads.WithLabelValues(role).Inc()
	}
	return target, err
}

// AwaitDurable waits until a write may be confirmed.
func (d *ServerSelector) AwaitDurable(ctx context.Context, groupName string, p group.Position) error {
	return d.next.AwaitDurable(ctx, groupName, p)
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) (port.Object, error) {
	object, err := s.next.Get(ctx, name)
	s.count("get", err)
	return object, err
}

// Put writes an object.
func (s *Store) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	version, err := s.next.Put(ctx, name, data, expected)
	s.count("put", err)
	return version, err
}

// Delete removes an object.
func (s *Store) Delete(ctx context.Context, name string, expected port.Version) error {
	err := s.next.Delete(ctx, name, expected)
	s.count("delete", err)
	return err
}

// Watch waits for another version. A waiting watch counts as one call when it ends.
func (s *Store) Watch(ctx context.Context, name string, seen port.Version, wait time.Duration) (port.Object, bool, error) {
	object, changed, err := s.next.Watch(ctx, name, seen, wait)
	s.count("watch", err)
	return object, changed, err
}

// List returns the objects of a prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Object, error) {
	objects, err := s.next.List(ctx, prefix)
	s.count("list", err)
	return objects, err
}

// Instances returns the platform's list of instances.
func (s *Store) Instances(ctx context.Context) ([]instance.Instance, error) {
	instances, err := s.next.Instances(ctx)
	s.count("instances", err)
	return instances, err
}

func (s *Store) count(call string, err error) {
	s.metrics.storeCalls.WithLabelValues(call, resultOf(err)).Inc()
}

// resultOf returns "ok" or the error's kind, which is one of a closed list.
func resultOf(err error) string {
	if err == nil {
		return resultOK
	}
	return string(port.KindOf(err))
}
