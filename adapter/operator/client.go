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

// callTimeout limits the duration of a call. It is longer than an edit may wait for the store.
const callTimeout = 30 * time.Second

// Client calls the operators' service of one instance.
type Client struct {
	service  operatorv1connect.OperatorServiceClient
	password string
}

// NewClient returns a client of the instance with the base URL of its admin listener, such as http://127.0.0.1:6434.
func NewClient(baseURL, password string) *Client {
	service := operatorv1connect.NewOperatorServiceClient(&http.Client{Timeout: callTimeout}, baseURL,
		connect.WithReadMaxBytes(maxMessageSize), connect.WithSendMaxBytes(maxMessageSize))
	return &Client{service: service, password: password}
}

// Show returns the current document as JSON. The result is empty if the instance has no document.
func (c *Client) Show(ctx context.Context) ([]byte, error) {
	req := connect.NewRequest(&operatorv1.ShowRequest{})
	c.authenticate(req)
	res, err := c.service.Show(ctx, req)
	if err != nil {
		return nil, toPortError(err)
	}
	return res.Msg.GetDocument(), nil
}

// Apply replaces the document and returns the new revision.
func (c *Client) Apply(ctx context.Context, data []byte, base document.Revision, author, summary string) (document.Revision, error) {
	req := connect.NewRequest(&operatorv1.ApplyRequest{
		Document: data, Base: uint64(base), Author: author, Summary: summary,
	})
	c.authenticate(req)
	res, err := c.service.Apply(ctx, req)
	if err != nil {
		return 0, toPortError(err)
	}
	return document.Revision(res.Msg.GetRevision()), nil
}

// call sends one authenticated request and returns the message of the response.
func call[Q, A any](
	ctx context.Context, c *Client, method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), msg *Q,
) (*A, error) {
	req := connect.NewRequest(msg)
	c.authenticate(req)
	res, err := method(ctx, req)
	if err != nil {
		return nil, toPortError(err)
	}
	return res.Msg, nil
}

// Document returns the current document. The error is of kind NotFound if the instance has none.
func (c *Client) Document(ctx context.Context) (document.Document, error) {
	data, err := c.Show(ctx)
	if err != nil {
		return document.Document{}, err
	}
	if len(data) == 0 {
		return document.Document{}, port.Errorf(port.NotFound, "the instance has no document")
	}
	d, violations := document.Parse(data)
	if len(violations) > 0 {
		return document.Document{}, port.Wrapf(entry.EditViolations(violations), port.Internal, "the instance returned an invalid document")
	}
	return d, nil
}

// Edit applies one edit to the document and returns the new revision.
func (c *Client) Edit(ctx context.Context, r entry.EditRequest) (document.Revision, error) {
	msg, err := encodeEdit(r)
	if err != nil {
		return 0, err
	}
	res, err := call(ctx, c, c.service.Edit, msg)
	return document.Revision(res.GetRevision()), err
}

// History returns the latest changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]*operatorv1.Change, error) {
	res, err := call(ctx, c, c.service.History, &operatorv1.HistoryRequest{Limit: uint32(limit)})
	return res.GetChanges(), err
}

// Groups returns the state of the named group as the instance sees it, or of all groups if the name is empty.
func (c *Client) Groups(ctx context.Context, name string) ([]*operatorv1.Group, error) {
	res, err := call(ctx, c, c.service.Groups, &operatorv1.GroupsRequest{Name: name})
	return res.GetGroups(), err
}

// Instances returns the listed instances.
func (c *Client) Instances(ctx context.Context) ([]*operatorv1.Instance, error) {
	res, err := call(ctx, c, c.service.Instances, &operatorv1.InstancesRequest{})
	return res.GetInstances(), err
}

// Explain returns where a request would currently be routed, and why.
func (c *Client) Explain(ctx context.Context, r entry.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	return call(ctx, c, c.service.Explain, &operatorv1.ExplainRequest{
		Organisation: r.Organisation, Route: r.Route, Token: r.Token,
	})
}

func (c *Client) authenticate(req connect.AnyRequest) {
	req.Header().Set("Authorization", bearerPrefix+c.password)
}

// toPortError converts an error of a call to one of the kind that the instance reported.
func toPortError(err error) error {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return port.Wrapf(err, port.Unavailable, "the instance does not answer")
	}
	if failure.Code() == connect.CodeUnauthenticated {
		return port.Errorf(port.KeyRefused, "the operators' password was rejected")
	}
	kind := port.Kind(failure.Meta().Get(kindHeader))
	if kind == "" {
		kind = port.Unavailable
	}
	return port.Errorf(kind, "%s", failure.Message())
}
