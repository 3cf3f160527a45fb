package fleet

import (
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

func encodeTerms(t proxy.LoanTerms) *fleetv1.LoanTerms {
	return &fleetv1.LoanTerms{
		Server: t.Server, Organisation: t.Organisation, Priority: uint32(max(t.Priority, 0)), WaitMs: uint32(t.Wait.Milliseconds()),
	}
}

func decodeTerms(m *fleetv1.LoanTerms) proxy.LoanTerms {
	return proxy.LoanTerms{
		Server: m.GetServer(), Organisation: m.GetOrganisation(), Priority: int(m.GetPriority()), Wait: millis(uint64(m.GetWaitMs())),
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
		switch o := s.Command.(type) {
		case statement.Forward:
			forward, err := encodeForward(o, s.Shape)
			if err != nil {
				return nil, err
			}
			step.Order = &fleetv1.Step_Forward{Forward: forward}
		case statement.OpenTransaction:
			step.Order = &fleetv1.Step_Open{Open: &fleetv1.OpenTransaction{ReadOnly: o.ReadOnly, After: encodePosition(o.After)}}
		case statement.RollbackTransaction:
			step.Order = &fleetv1.Step_Abandon{Abandon: true}
		default:
			return nil, port.Errorf(port.Internal, "the order %T is not for borrowed connections", o)
		}
		encoded = append(encoded, step)
	}
	return encoded, nil
}

func encodeForward(o statement.Forward, shape *statement.Shape) (*fleetv1.Forward, error) {
	m := &fleetv1.Forward{Id: []byte(o.Request.ID), After: encodePosition(o.After)}
	switch st := o.Request.Statement.(type) {
	case statement.Read:
		m.Statement = &fleetv1.Forward_Read{Read: []byte(st.Text)}
	case statement.Write:
		m.Statement = &fleetv1.Forward_Write{Write: []byte(st.Text)}
	case statement.Execute:
		m.Statement = &fleetv1.Forward_ExecuteArguments{ExecuteArguments: []byte(st.Arguments)}
	case statement.Commit:
		m.Statement = &fleetv1.Forward_Commit{Commit: true}
	default:
		return nil, port.Errorf(port.Internal, "the statement %T is not for servers", st)
	}
	if shape != nil {
		m.Shape = &fleetv1.Shape{Writes: shape.Writes, Text: []byte(shape.Text)}
	}
	return m, nil
}

func decodeSteps(steps []*fleetv1.Step) ([]statement.Step, error) {
	decoded := make([]statement.Step, 0, len(steps))
	for _, m := range steps {
		switch o := m.GetOrder().(type) {
		case *fleetv1.Step_Forward:
			step, err := decodeForward(o.Forward)
			if err != nil {
				return nil, err
			}
			decoded = append(decoded, step)
		case *fleetv1.Step_Open:
			decoded = append(decoded, statement.Step{Command: statement.OpenTransaction{
				ReadOnly: o.Open.GetReadOnly(), After: decodePosition(o.Open.GetAfter()),
			}})
		case *fleetv1.Step_Abandon:
			decoded = append(decoded, statement.Step{Command: statement.RollbackTransaction{}})
		default:
			return nil, port.Errorf(port.Protocol, "a step has no order")
		}
	}
	if len(decoded) == 0 {
		return nil, port.Errorf(port.Protocol, "the request has no steps")
	}
	return decoded, nil
}

func decodeForward(m *fleetv1.Forward) (statement.Step, error) {
	o := statement.Forward{Request: statement.Request{ID: string(m.GetId())}, After: decodePosition(m.GetAfter())}
	step := statement.Step{}
	if s := m.GetShape(); s != nil {
		step.Shape = &statement.Shape{Writes: s.GetWrites(), Text: string(s.GetText())}
	}
	switch st := m.GetStatement().(type) {
	case *fleetv1.Forward_Read:
		o.Request.Statement = statement.Read{Text: string(st.Read)}
	case *fleetv1.Forward_Write:
		o.Request.Statement = statement.Write{Text: string(st.Write)}
	case *fleetv1.Forward_ExecuteArguments:
		if step.Shape == nil {
			return statement.Step{}, port.Errorf(port.Protocol, "an execution has no shape")
		}
		// The prepared name is chosen where the connection is.
		o.Request.Statement = statement.Execute{Arguments: string(st.ExecuteArguments)}
	case *fleetv1.Forward_Commit:
		o.Request.Statement = statement.Commit{}
	default:
		return statement.Step{}, port.Errorf(port.Protocol, "a step has no statement")
	}
	step.Command = o
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

func encodeResult(r proxy.LoanResult) *fleetv1.LendResponse {
	switch r := r.(type) {
	case proxy.LoanAnswers:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Answers{Answers: encodeAnswers(r.Answers)}}
	case proxy.LoanRefusal:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Refusal{Refusal: &fleetv1.LoanRefusal{
			Kind: string(r.Kind), Text: r.Text, Closed: r.OwnerUnavailable,
		}}}
	case proxy.LoanConnectionLost:
		return &fleetv1.LendResponse{Result: &fleetv1.LendResponse_Lost{Lost: encodeAnswers(r.Answers)}}
	default:
		return &fleetv1.LendResponse{}
	}
}

// decodeResult returns the answers and the error of a run.
func decodeResult(m *fleetv1.LendResponse) ([]statement.Result, error) {
	switch r := m.GetResult().(type) {
	case *fleetv1.LendResponse_Answers:
		return decodeAnswers(r.Answers), nil
	case *fleetv1.LendResponse_Refusal:
		return nil, &proxy.NotSentError{Err: port.Errorf(port.Kind(r.Refusal.GetKind()), "%s", r.Refusal.GetText()), OwnerUnavailable: r.Refusal.GetClosed()}
	case *fleetv1.LendResponse_Lost:
		return decodeAnswers(r.Lost), port.Errorf(port.Unavailable, "the owner of the pool lost the connection to the server")
	default:
		return nil, port.Errorf(port.Protocol, "the owner of the pool sent no result")
	}
}

func encodeAnswers(answers []statement.Result) *fleetv1.StepAnswers {
	m := &fleetv1.StepAnswers{Answers: make([]*fleetv1.StepAnswer, 0, len(answers))}
	for _, a := range answers {
		one := &fleetv1.StepAnswer{
			Proof: []byte(a.Proof), Failure: string(a.Failure.Kind), Text: a.Failure.Text, State: uint32(a.State),
			Position: encodePosition(a.Position),
		}
		for _, row := range a.Rows {
			one.Rows = append(one.Rows, []byte(row))
		}
		m.Answers = append(m.Answers, one)
	}
	return m
}

func decodeAnswers(m *fleetv1.StepAnswers) []statement.Result {
	answers := make([]statement.Result, 0, len(m.GetAnswers()))
	for _, one := range m.GetAnswers() {
		a := statement.Result{
			Proof: string(one.GetProof()), Failure: statement.Failure{Kind: port.Kind(one.GetFailure()), Text: one.GetText()},
			State: statement.TransactionState(one.GetState()), Position: decodePosition(one.GetPosition()),
		}
		for _, row := range one.GetRows() {
			a.Rows = append(a.Rows, string(row))
		}
		answers = append(answers, a)
	}
	return answers
}
