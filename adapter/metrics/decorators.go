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

// Authorizer counts the decisions of another entry.Authorizer.
type Authorizer struct {
	next    entry.Authorizer
	metrics *Metrics
}

// ServerSelector counts the selections of another entry.ServerSelector.
type ServerSelector struct {
	next    entry.ServerSelector
	metrics *Metrics
}

// Store counts the calls to another port.Store.
type Store struct {
	next    port.Store
	metrics *Metrics
}

var (
	_ entry.Authorizer     = (*Authorizer)(nil)
	_ entry.ServerSelector = (*ServerSelector)(nil)
	_ port.Store           = (*Store)(nil)
)

// Authorizer wraps next with counters.
func (m *Metrics) Authorizer(next entry.Authorizer) *Authorizer {
	return &Authorizer{next: next, metrics: m}
}

// ServerSelector wraps next with counters.
func (m *Metrics) ServerSelector(next entry.ServerSelector) *ServerSelector {
	return &ServerSelector{next: next, metrics: m}
}

// Store wraps next with counters.
func (m *Metrics) Store(next port.Store) *Store { return &Store{next: next, metrics: m} }

// Authorize counts rejected start-ups. They have no organisation label, because the organisation is only claimed by the
// client and would allow any number of series.
func (a *Authorizer) Authorize(ctx context.Context, c entry.Credentials) (entry.Client, error) {
	client, err := a.next.Authorize(ctx, c)
	if err != nil {
		a.metrics.refusals.WithLabelValues("start_up", string(port.KindOf(err))).Inc()
	}
	return client, err
}

// AuthorizeStatement counts the requests by organisation. The organisation is one of the document, because the client has
// been authorized.
func (a *Authorizer) AuthorizeStatement(ctx context.Context, c entry.Client) (entry.Client, error) {
	client, err := a.next.AuthorizeStatement(ctx, c)
	a.metrics.countOrganisation(c.Organisation, resultOf(err))
	return client, err
}

// Token returns the session's token.
func (a *Authorizer) Token(s session.Session) string { return a.next.Token(s) }

// SelectServer counts the reads by the role of their server, and the clients that wait for a server.
func (s *ServerSelector) SelectServer(ctx context.Context, c entry.Client) (entry.Target, error) {
	s.metrics.selecting.Inc()
	defer s.metrics.selecting.Dec()
	target, err := s.next.SelectServer(ctx, c)
	if err == nil && c.Read {
		role := servedByPrimary
		if target.Replica {
			role = servedByReplica
		}
		s.metrics.reads.WithLabelValues(role).Inc()
	}
	return target, err
}

// AwaitDurable waits until a write may be acknowledged.
func (s *ServerSelector) AwaitDurable(ctx context.Context, groupName string, p group.Position) error {
	return s.next.AwaitDurable(ctx, groupName, p)
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

// Watch waits for another version. It counts as one call, when it ends.
func (s *Store) Watch(ctx context.Context, name string, seen port.Version, wait time.Duration) (port.Object, bool, error) {
	object, changed, err := s.next.Watch(ctx, name, seen, wait)
	s.count("watch", err)
	return object, changed, err
}

// List returns the objects whose names have the prefix.
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

// resultOf returns "ok" or the kind of the error, of which there is a fixed number.
func resultOf(err error) string {
	if err == nil {
		return resultOK
	}
	return string(port.KindOf(err))
}
