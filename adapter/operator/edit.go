package operator

import (
	"context"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Edit applies one edit to the document.
func (s *Server) Edit(
	ctx context.Context, req *connect.Request[operatorv1.EditRequest],
) (*connect.Response[operatorv1.EditResponse], error) {
	edit, err := decodeEdit(req.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	accepted, err := s.cfg.Editor.Apply(ctx, entry.EditRequest{
		Edit:         edit,
		BaseRevision: document.Revision(req.Msg.GetBase()),
		Author:       req.Msg.GetAuthor(),
		Summary:      req.Msg.GetSummary(),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&operatorv1.EditResponse{Revision: uint64(accepted.Revision)}), nil
}

func decodeEdit(msg *operatorv1.EditRequest) (document.Edit, error) {
	switch e := msg.GetEdit().(type) {
	case *operatorv1.EditRequest_PutOrganisation:
		o := e.PutOrganisation
		return document.PutOrganisation{Name: o.GetName(), Rate: o.GetRate(), Burst: o.GetBurst()}, nil
	case *operatorv1.EditRequest_RemoveOrganisation:
		return document.RemoveOrganisation{Name: e.RemoveOrganisation.GetName()}, nil
	case *operatorv1.EditRequest_GrantKey:
		k := e.GrantKey
		return document.GrantKey{
			Organisation: k.GetOrganisation(),
			Key:          document.Key{ID: k.GetKeyId(), SHA256: k.GetSha256()},
		}, nil
	case *operatorv1.EditRequest_WithdrawKey:
		return document.WithdrawKey{Organisation: e.WithdrawKey.GetOrganisation(), KeyID: e.WithdrawKey.GetKeyId()}, nil
	}
	return nil, port.Errorf(port.Invalid, "the request contains no edit that this instance supports")
}

func encodeEdit(r entry.EditRequest) (*operatorv1.EditRequest, error) {
	msg := &operatorv1.EditRequest{Base: uint64(r.BaseRevision), Author: r.Author, Summary: r.Summary}
	switch e := r.Edit.(type) {
	case document.PutOrganisation:
		msg.Edit = &operatorv1.EditRequest_PutOrganisation{PutOrganisation: &operatorv1.PutOrganisation{
			Name: e.Name, Rate: e.Rate, Burst: e.Burst,
		}}
	case document.RemoveOrganisation:
		msg.Edit = &operatorv1.EditRequest_RemoveOrganisation{RemoveOrganisation: &operatorv1.RemoveOrganisation{Name: e.Name}}
	case document.GrantKey:
		msg.Edit = &operatorv1.EditRequest_GrantKey{GrantKey: &operatorv1.GrantKey{
			Organisation: e.Organisation, KeyId: e.Key.ID, Sha256: e.Key.SHA256,
		}}
	case document.WithdrawKey:
		msg.Edit = &operatorv1.EditRequest_WithdrawKey{WithdrawKey: &operatorv1.WithdrawKey{
			Organisation: e.Organisation, KeyId: e.KeyID,
		}}
	default:
		return nil, port.Errorf(port.Unsupported, "the operators' service does not support edit %T", e)
	}
	return msg, nil
}
