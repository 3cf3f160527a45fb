package group

// Event is what a promoter learns. It is one of Observed, Fenced, Refused, Promoted and Announced.
type Event interface{ event() }

// Observed says that the view may have changed or that time has passed.
type Observed struct{}

// Fenced says that a server has promised the term to this promoter.
type Fenced struct {
	Term   Term
	Status Status
}

// Refused says that a server refused a fence or a promotion of the term because it has promised another one.
type Refused struct {
	Term     Term
	Server   string
	Promised Term
}

// Promoted says that a server became primary of the term.
type Promoted struct {
	Term   Term
	Server string
}

// Announced says that the fleet was told of the primary of the term, by this promoter or by another.
type Announced struct {
	Term    Term
	Primary string
}

func (Observed) event()  {}
func (Fenced) event()    {}
func (Refused) event()   {}
func (Promoted) event()  {}
func (Announced) event() {}

// Action is what a promoter has to do next. It is one of SendFence, SendPromote, SendFollow and Announce.
type Action interface{ order() }

// SendFence asks every member to promise the term to the candidate.
type SendFence struct {
	Term      Term
	Candidate string
}

// SendPromote makes a server primary.
type SendPromote struct {
	Term      Term
	Candidate string
	Server    string
}

// SendFollow makes a server replicate from the primary of the term.
type SendFollow struct {
	Term    Term
	Server  string
	Primary string
}

// Announce tells the fleet which server is primary of the term.
type Announce struct {
	Term    Term
	Primary string
}

func (SendFence) order()   {}
func (SendPromote) order() {}
func (SendFollow) order()  {}
func (Announce) order()    {}
