package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/document"
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

func (c *Client) sign(req connect.AnyRequest) { req.Header().Set("Authorization", bearer+c.password) }

// failureOf gives the error the kind that the instance named.
func failureOf(err error) error {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return port.Wrapf(err, port.Unavailable, "the instance does not answer")
	}
	if failure.Code() == connect.CodeUnauthenticated {
		return port.Failf(port.KeyRefused, "the operators' password was refused")
	}
	kind := port.Kind(failure.Meta().Get(kindHeader))
	if kind == "" {
		kind = port.Unavailable
	}
	return port.Failf(kind, "%s", failure.Message())
}
