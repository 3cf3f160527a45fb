package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1/operatorv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// callLimit bounds one call. It lies above the time that an edit may wait for the store.
const callLimit = 30 * time.Second

// Client sends an operator's requests to one instance.
type Client struct {
	calls    operatorv1connect.OperatorServiceClient
	password string
}

// NewClient returns a client of the instance whose operators' address is base, such as http://127.0.0.1:6434.
func NewClient(base, password string) *Client {
	calls := operatorv1connect.NewOperatorServiceClient(&http.Client{Timeout: callLimit}, base,
		connect.WithReadMaxBytes(maxMessage), connect.WithSendMaxBytes(maxMessage))
	return &Client{calls: calls, password: password}
}

// Show returns the JSON of the document in force; it is empty when there is none.
func (c *Client) Show(ctx context.Context) ([]byte, error) {
	req := connect.NewRequest(&operatorv1.ShowRequest{})
	c.sign(req)
	res, err := c.calls.Show(ctx, req)
	if err != nil {
		return nil, failureOf(err)
	}
	return res.Msg.GetDocument(), nil
}

// Apply replaces the document, and returns the revision that was accepted.
func (c *Client) Apply(ctx context.Context, data []byte, base document.Revision, author, summary string) (document.Revision, error) {
	req := connect.NewRequest(&operatorv1.ApplyRequest{
		Document: data, Base: uint64(base), Author: author, Summary: summary,
	})
	c.sign(req)
	res, err := c.calls.Apply(ctx, req)
	if err != nil {
		return 0, failureOf(err)
	}
	return document.Revision(res.Msg.GetRevision()), nil
}

// call signs and sends one request, and returns the answer's message.
func call[Q, A any](
	ctx context.Context, c *Client, do func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), msg *Q,
) (*A, error) {
	req := connect.NewRequest(msg)
	c.sign(req)
	res, err := do(ctx, req)
	if err != nil {
		return nil, failureOf(err)
	}
	return res.Msg, nil
}

// Document returns the document in force. It fails with kind NotFound when the instance has none.
func (c *Client) Document(ctx context.Context) (document.Document, error) {
	data, err := c.Show(ctx)
	if err != nil {
		return document.Document{}, err
	}
	if len(data) == 0 {
		return document.Document{}, port.Errorf(port.NotFound, "the instance has no document")
	}
	d, faults := document.Parse(data)
	if len(faults) > 0 {
		return document.Document{}, port.Wrapf(entry.EditViolations(faults), port.Internal, "the document in force has faults")
	}
	return d, nil
}

// Edit makes one change and returns the revision that was accepted.
func (c *Client) Edit(ctx context.Context, r entry.EditRequest) (document.Revision, error) {
	msg, err := encodeEdit(r)
	if err != nil {
		return 0, err
	}
	res, err := call(ctx, c, c.calls.Edit, msg)
	return document.Revision(res.GetRevision()), err
}

// History returns the latest changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]*operatorv1.Change, error) {
	res, err := call(ctx, c, c.calls.History, &operatorv1.HistoryRequest{Limit: uint32(limit)})
	return res.GetChanges(), err
}

// Groups returns what the instance knows of the group of the name, or of every group when the name is empty.
func (c *Client) Groups(ctx context.Context, name string) ([]*operatorv1.Group, error) {
	res, err := call(ctx, c, c.calls.Groups, &operatorv1.GroupsRequest{Name: name})
	return res.GetGroups(), err
}

// Instances returns the listed instances.
func (c *Client) Instances(ctx context.Context) ([]*operatorv1.Instance, error) {
	res, err := call(ctx, c, c.calls.Instances, &operatorv1.InstancesRequest{})
	return res.GetInstances(), err
}

// Explain tells where a request would go now, and why.
func (c *Client) Explain(ctx context.Context, r entry.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	return call(ctx, c, c.calls.Explain, &operatorv1.ExplainRequest{
		Organisation: r.Organisation, Route: r.Route, Token: r.Token,
	})
}

func (c *Client) sign(req connect.AnyRequest) { req.Header().Set("Authorization", bearer+c.password) }

// failureOf gives the error the kind that the instance named.
func failureOf(err error) error {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return port.Wrapf(err, port.Unavailable, "the instance does not answer")
	}
	if failure.Code() == connect.CodeUnauthenticated {
		return port.Errorf(port.KeyRefused, "the operators' password was refused")
	}
	kind := port.Kind(failure.Meta().Get(kindHeader))
	if kind == "" {
		kind = port.Unavailable
	}
	return port.Errorf(kind, "%s", failure.Message())
}
