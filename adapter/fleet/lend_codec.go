package fleet

import (
	"github.com/rhubarbwick/rhubarbwick/document"
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

func encodeTerms(t proxy.LoanTerms) *fleetv1.LoanTerms {
	m := &fleetv1.LoanTerms{
		Server: t.Server, Organisation: t.Organisation, Priority: uint32(max(t.Priority, 0)), WaitMs: uint32(t.Wait.Milliseconds()),
		KeyId: t.KeyID, Revision: uint64(t.Revision),
	}
	encodeSpillRoute(m, t.Spill)
	return m
}

func decodeTerms(m *fleetv1.LoanTerms) proxy.LoanTerms {
	return proxy.LoanTerms{
		Server: m.GetServer(), Organisation: m.GetOrganisation(), Priority: int(m.GetPriority()), Wait: milliseconds(uint64(m.GetWaitMs())),
		KeyID: m.GetKeyId(), Revision: document.Revision(m.GetRevision()),
		Spill: decodeSpillRoute(m),
	}
}

func encodeValues(c statement.SessionState) []*fleetv1.SessionValue {
	var values []*fleetv1.SessionValue
	for name, value := range c.Values() {
		values = append(values, &fleetv1.SessionValue{Name: []byte(name), Value: []byte(value)})
	}
	return values
}

func decodeValues(values []*fleetv1.SessionValue) statement.SessionState {
	decoded := make(map[string]string, len(values))
	for _, v := range values {
		decoded[string(v.GetName())] = string(v.GetValue())
	}
	return statement.NewSessionState(decoded)
}

func encodeSteps(steps []statement.Step) ([]*fleetv1.Step, error) {
	encoded := make([]*fleetv1.Step, 0, len(steps))
	for _, s := range steps {
		step := &fleetv1.Step{}
		switch command := s.Command.(type) {
		case statement.Forward:
			forward, err := encodeForward(command, s.Shape)
			if err != nil {
				return nil, err
			}
			step.Order = &fleetv1.Step_Forward{Forward: forward}
		case statement.OpenTransaction:
			step.Order = &fleetv1.Step_Open{Open: &fleetv1.OpenTransaction{ReadOnly: command.ReadOnly, After: encodePosition(command.After)}}
		case statement.RollbackTransaction:
			step.Order = &fleetv1.Step_Abandon{Abandon: true}
		default:
			return nil, port.Errorf(port.Internal, "command %T is not supported on borrowed connections", command)
		}
		encoded = append(encoded, step)
	}
	return encoded, nil
}

func encodeForward(command statement.Forward, shape *statement.Shape) (*fleetv1.Forward, error) {
	m := &fleetv1.Forward{Id: []byte(command.Request.ID), After: encodePosition(command.After)}
	switch stmt := command.Request.Statement.(type) {
	case statement.Read:
		m.Statement = &fleetv1.Forward_Read{Read: []byte(stmt.Text)}
	case statement.Write:
		m.Statement = &fleetv1.Forward_Write{Write: []byte(stmt.Text)}
	case statement.Execute:
		m.Statement = &fleetv1.Forward_ExecuteArguments{ExecuteArguments: []byte(stmt.Arguments)}
	case statement.Commit:
		m.Statement = &fleetv1.Forward_Commit{Commit: true}
	default:
		return nil, port.Errorf(port.Internal, "statement %T cannot be forwarded", stmt)
	}
	if shape != nil {
		m.Shape = &fleetv1.Shape{Writes: shape.Writes, Text: []byte(shape.Text)}
	}
	return m, nil
}

func decodeSteps(steps []*fleetv1.Step) ([]statement.Step, error) {
	decoded := make([]statement.Step, 0, len(steps))
	for _, m := range steps {
		switch command := m.GetOrder().(type) {
		case *fleetv1.Step_Forward:
			step, err := decodeForward(command.Forward)
			if err != nil {
				return nil, err
			}
			decoded = append(decoded, step)
		case *fleetv1.Step_Open:
			decoded = append(decoded, statement.Step{Command: statement.OpenTransaction{
				ReadOnly: command.Open.GetReadOnly(), After: decodePosition(command.Open.GetAfter()),
			}})
		case *fleetv1.Step_Abandon:
			decoded = append(decoded, statement.Step{Command: statement.RollbackTransaction{}})
		default:
			return nil, port.Errorf(port.Protocol, "a step has no command")
		}
	}
	if len(decoded) == 0 {
		return nil, port.Errorf(port.Protocol, "the request has no steps")
	}
	return decoded, nil
}

func decodeForward(m *fleetv1.Forward) (statement.Step, error) {
	command := statement.Forward{Request: statement.Request{ID: string(m.GetId())}, After: decodePosition(m.GetAfter())}
	step := statement.Step{}
	if s := m.GetShape(); s != nil {
		step.Shape = &statement.Shape{Writes: s.GetWrites(), Text: string(s.GetText())}
	}
	switch stmt := m.GetStatement().(type) {
	case *fleetv1.Forward_Read:
		command.Request.Statement = statement.Read{Text: string(stmt.Read)}
	case *fleetv1.Forward_Write:
		command.Request.Statement = statement.Write{Text: string(stmt.Write)}
	case *fleetv1.Forward_ExecuteArguments:
		if step.Shape == nil {
			return statement.Step{}, port.Errorf(port.Protocol, "an EXECUTE step has no shape")
		}
		// The owner of the connection chooses the name of the prepared statement.
		command.Request.Statement = statement.Execute{Arguments: string(stmt.ExecuteArguments)}
	case *fleetv1.Forward_Commit:
		command.Request.Statement = statement.Commit{}
	default:
		return statement.Step{}, port.Errorf(port.Protocol, "a step has no statement")
	}
	step.Command = command
	return step, nil
}

func encodePosition(p group.Position) *fleetv1.Position {
	if p.IsZero() {
		return nil
	}
	return &fleetv1.Position{Term: uint64(p.Term), Offset: p.Offset}
}

func decodePosition(m *fleetv1.Position) group.Position {
	return group.Position{Term: group.Term(m.GetTerm()), Offset: m.GetOffset()}
}

func encodeLendResponse(r proxy.LoanResult) *fleetv1.LendResponse {
	switch r := r.(type) {
	case proxy.LoanAnswers:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Answers{Answers: encodeResults(r.Answers)}}
	case proxy.LoanRefusal:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Refusal{Refusal: &fleetv1.LoanRefusal{
			Kind: string(r.Kind), Text: r.Text, Closed: r.OwnerUnavailable, Spill: encodeSpillRefusal(r.Spill),
		}}}
	case proxy.LoanConnectionLost:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Lost{Lost: encodeResults(r.Answers)}}
	default:
		return &fleetv1.LendResponse{}
	}
}

// decodeLendResponse returns the results of the steps and the error.
func decodeLendResponse(m *fleetv1.LendResponse) ([]statement.Result, error) {
	switch r := m.GetResult().(type) {
	case *fleetv1.LendResponse_Answers:
		return decodeResults(r.Answers), nil
	case *fleetv1.LendResponse_Refusal:
		return nil, decodeRefusal(r.Refusal).NotSent()
	case *fleetv1.LendResponse_Lost:
		return decodeResults(r.Lost), port.Errorf(port.Unavailable, "the pool owner lost its connection to the server")
	default:
		return nil, port.Errorf(port.Protocol, "the pool owner sent a response without a result")
	}
}

func encodeResults(results []statement.Result) *fleetv1.StepAnswers {
	m := &fleetv1.StepAnswers{Answers: make([]*fleetv1.StepAnswer, 0, len(results))}
	for _, result := range results {
		answer := &fleetv1.StepAnswer{
			Proof: []byte(result.Proof), Failure: string(result.Failure.Kind), Text: result.Failure.Text, State: uint32(result.State),
			Position: encodePosition(result.Position),
		}
		for _, row := range result.Rows {
			answer.Rows = append(answer.Rows, []byte(row))
		}
		m.Answers = append(m.Answers, answer)
	}
	return m
}

func decodeResults(m *fleetv1.StepAnswers) []statement.Result {
	results := make([]statement.Result, 0, len(m.GetAnswers()))
	for _, answer := range m.GetAnswers() {
		result := statement.Result{
			Proof: string(answer.GetProof()), Failure: statement.Failure{Kind: port.Kind(answer.GetFailure()), Text: answer.GetText()},
			State: statement.TransactionState(answer.GetState()), Position: decodePosition(answer.GetPosition()),
		}
		for _, row := range answer.GetRows() {
			result.Rows = append(result.Rows, string(row))
		}
		results = append(results, result)
	}
	return results
}
