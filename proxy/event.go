package proxy

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Event is a decision about a request, or a change in the instance's view of the system: RequestCompleted,
// PrimaryChanged, PromotionStep, SourceChanged, MemberUnresponsive, PoolOwnerExcluded, PoolReport, PeerPanicked,
// SpillShareChanged, DocumentFinding, DocumentChecked, MaintenanceUpdated, MaintenanceRefusal, MaintenanceProgress,
// WarmUpChanged, WarmUpProgress or ServerEjected.
type Event interface{ event() }

// RequestCompleted reports the result of a request.
type RequestCompleted struct {
	ID           string
	Organisation string
	Route        string
	Group        string
	Freshness    document.Freshness
	// Kind is empty if the request succeeded.
	Kind   port.Kind
	Reason string
	// Server is the last server that ran the request; it is empty if none did. PoolOwner is the instance that lent the
	// connection; it is empty if the connection was from the instance's own pool.
	Server    string
	PoolOwner string
	Attempts  int
	Duration  time.Duration
	// Revision is the revision of the document in force; DocumentAge is the time since it was last known to be the
	// newest.
	Revision    uint64
	DocumentAge time.Duration
	// PrimaryAge is the age of the information about the group's primary.
	PrimaryAge time.Duration
	// Spill says whether the request was sent to another data centre because of spill-over.
	Spill SpillRecord
}

// PrimaryChanged reports that the instance learned of a new primary or of a replacement in progress.
type PrimaryChanged struct {
	Group     string
	Primary   string
	Term      group.Term
	Replacing bool
	// Age is zero if another instance reported the record.
	Age time.Duration
}

// PromotionStep reports a step of a promoter.
type PromotionStep struct {
	Group  string
	Step   string
	Server string
	Epoch  uint64
	Reason string
}

// SourceChanged reports where the instance now reads the cluster state from.
type SourceChanged struct {
	// Source is "store" or "relay"; Relay is the name of the relay, or empty. Path holds the names of the instances from the
	// one that reads the store to the relay.
	Source string
	Relay  string
	Path   []string
	Reason string
	// DocumentAge and RecordsAge are the times since the document and the records were last known to be the newest.
	DocumentAge time.Duration
	RecordsAge  time.Duration
}

// MemberUnresponsive reports that another instance is unresponsive and that its record was marked as leaving or
// removed.
type MemberUnresponsive struct {
	Name    string
	Removed bool
}

// PoolOwnerExcluded reports that connections of another instance's pools are temporarily not borrowed: those to one
// server, or all of them if Server is empty.
type PoolOwnerExcluded struct {
	Owner  string
	Server string
	Reason string
}

// PeerPanicked reports that serving one peer, a client or another instance, panicked. Its connection or call ended; the
// others are not affected.
type PeerPanicked struct {
	Peer   string
	Reason string
	Stack  string
}

// NewPeerPanicked returns the event of a panic. It must be called by the deferred function that has recovered the reason, so that the stack is that of
// the panic.
func NewPeerPanicked(peer string, reason any) PeerPanicked {
	return PeerPanicked{Peer: peer, Reason: fmt.Sprint(reason), Stack: string(debug.Stack())}
}

// RecoverPeer ends a panic of a goroutine that serves or calls one peer, and records it. It must be deferred directly.
// The goroutines that own state shared by all peers, such as the dispatcher's, have no such boundary: their state may be
// half changed, so the process ends and is restarted.
func RecoverPeer(recorder Recorder, peer string) {
	if r := recover(); r != nil {
		recorder.Record(NewPeerPanicked(peer, r))
	}
}

func (RequestCompleted) event()   {}
func (PeerPanicked) event()       {}
func (PoolOwnerExcluded) event()  {}
func (MemberUnresponsive) event() {}
func (PrimaryChanged) event()     {}
func (PromotionStep) event()      {}
func (SourceChanged) event()      {}

// Recorder receives events. Its method must not block.
type Recorder interface{ Record(e Event) }

// nopRecorder discards events.
type nopRecorder struct{}

func (nopRecorder) Record(Event) {}

// recorderOrNop returns r, or a recorder that discards events if r is nil.
func recorderOrNop(r Recorder) Recorder {
	if r == nil {
		return nopRecorder{}
	}
	return r
}
