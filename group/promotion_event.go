package group

// Event is an input of a promotion. It is one of Observed, Fenced, Refused, Promoted and Announced.
type Event interface{ event() }

// Observed means that the view may have changed or that time has passed.
type Observed struct{}

// Fenced means that a server has promised the term to this promoter.
type Fenced struct {
	Term   Term
	Status Status
}

// Refused means that a server refused a fence or a promotion of the term because it has promised another one.
type Refused struct {
	Term     Term
	Server   string
	Promised Term
}

// Promoted means that a server became primary of the term.
type Promoted struct {
	Term   Term
	Server string
}

// Announced means that this or another promoter announced the primary of the term to the fleet.
type Announced struct {
	Term    Term
	Primary string
}

func (Observed) event()  {}
func (Fenced) event()    {}
func (Refused) event()   {}
func (Promoted) event()  {}
func (Announced) event() {}

// Action is an operation that a promoter has to carry out. It is one of SendFence, SendPromote, SendFollow and
// Announce.
type Action interface{ action() }

// SendFence asks every member to promise the term to the candidate.
type SendFence struct {
	Term      Term
	Candidate string
}

// SendPromote asks a server to become primary of the term.
type SendPromote struct {
	Term      Term
	Candidate string
	Server    string
}

// SendFollow asks a server to replicate from the primary of the term.
type SendFollow struct {
	Term    Term
	Server  string
	Primary string
}

// Announce announces the primary of the term to the fleet.
type Announce struct {
	Term    Term
	Primary string
}

func (SendFence) action()   {}
func (SendPromote) action() {}
func (SendFollow) action()  {}
func (Announce) action()    {}
