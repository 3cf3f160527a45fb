package organisation

import (
	"slices"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Clearance is the authorization under which a statement is sent to a server. It is one of ClientClearance and
// LoanClearance.
type Clearance interface{ clearance() }

// ClientClearance is the authorization of a client of this instance.
type ClientClearance struct{ Allowed Allowed }

// LoanClearance is the authorization of another instance's client. Revision is the document by which that instance
// checked the key.
type LoanClearance struct {
	Organisation string
	// KeyID is empty on an open route.
	KeyID    string
	Revision document.Revision
}

func (ClientClearance) clearance() {}
func (LoanClearance) clearance()   {}

// CheckClearance decides whether a statement may leave for a server under the document of the given revision. It is
// checked right before the statement is sent: a statement may wait for longer than a document takes to be in force.
//
// A borrower's check stands unless this instance has a newer document. With an older one it could refuse a key that was
// added since.
func CheckClearance(lookup Lookup, revision document.Revision, c Clearance, fresh bool) Decision {
	switch c := c.(type) {
	case ClientClearance:
		return ReauthorizeKey(lookup, c.Allowed, fresh)
	case LoanClearance:
		allowed := Allowed{Organisation: c.Organisation, KeyID: c.KeyID}
		if c.KeyID == "" || revision <= c.Revision {
			return allowed
		}
		o, _ := lookup.FindOrganisation(c.Organisation)
		if !slices.ContainsFunc(o.Keys, func(k document.Key) bool { return k.ID == c.KeyID }) {
			return Denied{Kind: port.KeyRefused, Reason: reasonWithdrawn}
		}
		return allowed
	default:
		return Denied{Kind: port.Internal, Reason: "the statement has no authorization"}
	}
}
