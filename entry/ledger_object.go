package entry

import (
	"bytes"
	"encoding/json"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// amountObject is an amount in a stored ledger, in millionths of a statement, so that sums are exact.
type amountObject struct {
	Rate        int64 `json:"rate,omitempty"`
	Burst       int64 `json:"burst,omitempty"`
	Connections int64 `json:"units,omitempty"`
}

type limitObject struct {
	Name               string       `json:"name"`
	Total              amountObject `json:"total"`
	MaxFallbackHolders int          `json:"seats"`
	Revision           uint64       `json:"revision"`
}

type entryObject struct {
	Holder   string       `json:"holder"`
	Share    amountObject `json:"share"`
	Fallback amountObject `json:"standing"`
	Lease    uint64       `json:"lease"`
	Wanted   amountObject `json:"wanted"`
}

type reservationObject struct {
	Holder string       `json:"holder"`
	Share  amountObject `json:"share"`
	Lease  uint64       `json:"lease"`
}

type poolObject struct {
	Free   amountObject `json:"free"`
	Tokens int64        `json:"tokens"`
	Taken  int64        `json:"taken"`
	Epoch  uint64       `json:"epoch"`
}

type ledgerObject struct {
	Limit        limitObject         `json:"limit"`
	Entries      []entryObject       `json:"entries"`
	Reservations []reservationObject `json:"seats"`
	Pool         poolObject          `json:"pool"`
}

// EncodeLedger returns the stored form of a ledger.
func EncodeLedger(l allotment.Ledger) ([]byte, error) {
	object := ledgerObject{
		Limit: limitObject{
			Name: l.Limit.Name, Total: toAmountObject(l.Limit.Total),
			MaxFallbackHolders: l.Limit.MaxFallbackHolders, Revision: l.Limit.Revision,
		},
		Entries:      []entryObject{},
		Reservations: []reservationObject{},
		Pool:         poolObject{Free: toAmountObject(l.Free()), Tokens: int64(l.Tokens), Taken: int64(l.Taken), Epoch: l.Epoch},
	}
	for _, e := range l.Entries {
		object.Entries = append(object.Entries, entryObject{
			Holder: e.Holder, Share: toAmountObject(e.Share), Fallback: toAmountObject(e.Fallback),
			Lease: e.Lease, Wanted: toAmountObject(e.Wanted),
		})
	}
	for _, r := range l.Reservations {
		object.Reservations = append(object.Reservations, reservationObject{
			Holder: r.Holder, Share: toAmountObject(r.Share), Lease: r.Lease,
		})
	}
	data, err := json.Marshal(object)
	return data, port.Wrapf(err, port.Internal, "encode ledger %q", l.Limit.Name)
}

// ParseLedger decodes a stored ledger and validates it.
func ParseLedger(data []byte) (allotment.Ledger, error) {
	var object ledgerObject
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&object); err != nil {
		return allotment.Ledger{}, port.Wrapf(err, port.Invalid, "parse ledger")
	}
	if decoder.More() {
		return allotment.Ledger{}, port.Errorf(port.Invalid, "parse ledger: data after the JSON object")
	}
	l := object.ledger()
	if err := l.Check(); err != nil {
		return allotment.Ledger{}, port.Wrapf(err, port.Invalid, "ledger %q", l.Limit.Name)
	}
	if free := object.Pool.Free.amount(); free != l.Free() {
		return allotment.Ledger{}, port.Errorf(port.Invalid, "ledger %q: pool states that %v is free, but the entries leave %v",
			l.Limit.Name, free, l.Free())
	}
	return l, nil
}

func (o ledgerObject) ledger() allotment.Ledger {
	l := allotment.Ledger{
		Limit: allotment.Limit{
			Name: o.Limit.Name, Total: o.Limit.Total.amount(),
			MaxFallbackHolders: o.Limit.MaxFallbackHolders, Revision: o.Limit.Revision,
		},
		Tokens: allotment.Statements(o.Pool.Tokens),
		Taken:  allotment.Statements(o.Pool.Taken),
		Epoch:  o.Pool.Epoch,
	}
	for _, e := range o.Entries {
		l.Entries = append(l.Entries, allotment.Entry{
			Holder: e.Holder, Share: e.Share.amount(), Fallback: e.Fallback.amount(),
			Lease: e.Lease, Wanted: e.Wanted.amount(),
		})
	}
	for _, r := range o.Reservations {
		l.Reservations = append(l.Reservations, allotment.Reservation{
			Holder: r.Holder, Share: r.Share.amount(), Lease: r.Lease,
		})
	}
	return l
}

func (o amountObject) amount() allotment.Amount {
	return allotment.Amount{
		Rate: allotment.Statements(o.Rate), Burst: allotment.Statements(o.Burst), Connections: o.Connections,
	}
}

func toAmountObject(a allotment.Amount) amountObject {
	return amountObject{Rate: int64(a.Rate), Burst: int64(a.Burst), Connections: a.Connections}
}
