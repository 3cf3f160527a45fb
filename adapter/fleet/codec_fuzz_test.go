package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// addMessages adds encoded messages and a few malformed ones as seeds.
func addMessages(f *testing.F, messages ...proto.Message) {
	f.Helper()
	for _, m := range messages {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{})
	f.Add([]byte("\xff\xff\xff\xff"))
}

// Guards against a loan request of another instance that causes a panic.
func FuzzLendRequest(f *testing.F) {
	steps, err := encodeSteps([]statement.Step{
		{Command: statement.OpenTransaction{ReadOnly: true}},
		{Command: statement.Forward{Request: statement.Request{ID: "1", Statement: statement.Write{Text: "WRITE a b"}}}},
	})
	require.NoError(f, err)
	addMessages(f, &fleetv1.LendRequest{Terms: encodeTerms(proxy.LoanTerms{Server: "i-1", Organisation: "clinic"}), Steps: steps},
		&fleetv1.LendRequest{Steps: []*fleetv1.Step{nil, {}}})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m fleetv1.LendRequest
		if proto.Unmarshal(data, &m) == nil {
			_ = decodeTerms(m.GetTerms())
			_ = decodeValues(m.GetValues())
			_, _ = decodeSteps(m.GetSteps())
		}
	})
}

// Guards against an answer of another instance that causes a panic.
func FuzzLendResponse(f *testing.F) {
	addMessages(f, encodeLendResponse(proxy.LoanAnswers{Answers: []statement.Result{{Rows: []string{"a"}, Proof: "p"}}}),
		encodeLendResponse(proxy.LoanRefusal{Text: "full"}), encodeLendResponse(proxy.LoanConnectionLost{}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m fleetv1.LendResponse
		if proto.Unmarshal(data, &m) == nil {
			_, _ = decodeLendResponse(&m)
		}
	})
}

// Guards against a relay's answer that causes a panic.
func FuzzExchangeResponse(f *testing.F) {
	addMessages(f, &fleetv1.ExchangeResponse{
		Document: []byte(`{"revision":3}`), Records: []*fleetv1.Record{{Name: "instance/a", Version: 3, Data: []byte(`{"name":"a","incarnation":"1"}`)}},
		Servers: []*fleetv1.Server{{Name: "i-1", Group: "g", Address: "10.0.0.1:1"}}, ServersAgeMs: 40, MaintenanceAgeMs: 1 << 63,
		Path: []string{"a", "b"},
	})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m fleetv1.ExchangeResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		if r, err := decodeExchangeResponse(&m); err == nil {
			_ = proxy.NewSnapshot(r.Records, 0)
		}
	})
}
