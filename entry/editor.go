package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// UpdateAttempts is how often an update is sent again, or looked up, after its answer was lost.
	UpdateAttempts = 10
	// EditCallTimeout bounds each call of an edit to the store or to a relay.
	EditCallTimeout = 2 * time.Second

	// OfferWait is how long an editor waits for a relay to learn of a change from the store, before it sends the relay the
	// whole document. A relay that watches the store learns of it within milliseconds.
	OfferWait = 500 * time.Millisecond

	// AuditDelay leaves the editor that made a change the time to write its audit record.
	AuditDelay = 5 * time.Second

	updateRetryDelay = 500 * time.Millisecond
	auditPrefix      = "audit/"
)

// ErrNothingChanged is in the chain of an error of Apply that is certain to have changed nothing, although its kind
// leaves that open.
var ErrNothingChanged = errors.New("nothing was changed")

// EditRequest is a change that an operator asks for.
type EditRequest struct {
	Edit document.Edit
	// BaseRevision is the revision that the operator saw. Zero means that the edit fits any revision.
	BaseRevision document.Revision
	Author       string
	// Summary is the operator's reason. An empty one is replaced by what changed.
	Summary string
}

// EditViolations is the cause of an error of kind Invalid: what is wrong with an edit.
type EditViolations []document.Violation

// Error returns the faults, separated by semicolons.
func (f EditViolations) Error() string {
	messages := make([]string, 0, len(f))
	for _, fault := range f {
		messages = append(messages, fault.String())
	}
	return strings.Join(messages, "; ")
}

// EditorConfig is what an Editor needs.
type EditorConfig struct {
	Self     instance.Instance
	Store    port.Store
	Relays   RelayClient
	Follower *Follower
	Timer    port.Timer
	Wall     port.WallClock
	// NewID returns a random identity for a change or for an attempt to write sections.
	NewID func() string
	// Log takes one line for the operator. It may be nil.
	Log func(line string)
}

// Editor applies operators' edits to the document in the store.
type Editor struct {
	cfg EditorConfig
}

// NewEditor returns an Editor.
func NewEditor(cfg EditorConfig) *Editor { return &Editor{cfg: cfg} }

// Apply changes the document and returns the new one when it is accepted. Errors are of kind Invalid, with EditFaults
// as the cause, Conflict when another operator changed the document, and Unavailable when it is not known whether the
// change was stored or whether it is in force.
func (e *Editor) Apply(ctx context.Context, r EditRequest) (document.Document, error) {
	current, base, err := e.readBase(ctx)
	if err != nil {
		return document.Document{}, nothingChanged(err, "the document was not read")
	}
	if r.BaseRevision != 0 && r.BaseRevision != base.Revision {
		return document.Document{}, conflictError(r.BaseRevision, base)
	}
	change := document.Change{ID: e.cfg.NewID(), Author: r.Author, Summary: r.Summary, At: e.cfg.Wall().UTC().Truncate(time.Millisecond)}
	next, faults := base.WithEdit(r.Edit, change)
	if len(faults) > 0 {
		return document.Document{}, port.Wrapf(EditViolations(faults), port.Invalid, "the edit is not possible")
	}
	if err := e.storeEdit(ctx, current, base, next); err != nil {
		return document.Document{}, err
	}
	if err := e.distribute(ctx, next); err != nil {
		return next, err
	}
	if err := e.CompleteAudit(ctx, next); err != nil {
		e.log(fmt.Sprintf("the audit record of revision %d is completed later: %s", next.Revision, err))
	}
	return next, nil
}

// distribute puts the stored document in force here and at all relays of one data centre. While the store is down the
// instances rely on the vouches of the relays of all data centres, so an accepted change has to be known to every
// relay of at least one of them.
func (e *Editor) distribute(ctx context.Context, next document.Document) error {
	if _, err := e.cfg.Follower.Install(ctx, next); err != nil {
		return err
	}
	list := e.readList(ctx)
	names := list.DataCentres()
	if len(names) == 0 {
		return nil
	}
	slices.SortStableFunc(names, func(a, b string) int { return e.distance(a) - e.distance(b) })
	for _, name := range names {
		if e.offerToAll(ctx, list.Relays(name), next) {
			return nil
		}
	}
	return port.Errorf(port.Unavailable, "revision %d is stored, but the relays of no data centre have confirmed it; "+
		"an instance that cannot reach the platform may still use the previous one", next.Revision)
}

// readList returns the list that the platform has now, and the one known when it does not answer.
func (e *Editor) readList(ctx context.Context) instance.List {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	instances, err := e.cfg.Store.Instances(limited)
	if err != nil {
		return e.cfg.Follower.List()
	}
	return instance.NewList(instances...)
}

// offerToAll reports whether every relay has the document.
func (e *Editor) offerToAll(ctx context.Context, relays []instance.Instance, next document.Document) bool {
	for _, r := range relays {
		if r.Incarnation == e.cfg.Self.Incarnation {
			continue
		}
		if !e.offer(ctx, r.Address, next) {
			return false
		}
	}
	return len(relays) > 0
}

// offer reports whether the relay has the document. A relay that reaches the store learns of it from there, so it is
// asked first and gets the whole document only if it does not answer that it has it.
func (e *Editor) offer(ctx context.Context, address string, next document.Document) bool {
	revision, err := e.awaitRevision(ctx, address, next.Revision)
	if err != nil || revision < next.Revision {
		limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
		defer cancel()
		revision, err = e.cfg.Relays.Offer(limited, address, next)
	}
	if err != nil {
		e.log(fmt.Sprintf("relay %s does not take revision %d: %s", address, next.Revision, err))
	}
	return err == nil && revision >= next.Revision
}

// awaitRevision returns the revision in force at the relay, as soon as it is r and after OfferWait at the latest.
func (e *Editor) awaitRevision(ctx context.Context, address string, r document.Revision) (document.Revision, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, 2*OfferWait)
	defer cancel()
	response, err := e.cfg.Relays.Follow(limited, address, FollowRequest{KnownRevision: r - 1, MaxWait: OfferWait})
	return response.Revision, err
}

func (e *Editor) distance(dataCentre string) int {
	if dataCentre == e.cfg.Self.DataCentre {
		return 0
	}
	return 1
}

func (e *Editor) put(ctx context.Context, name string, data []byte, expected port.Version) error {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	_, err := e.cfg.Store.Put(limited, name, data, expected)
	return err
}

func (e *Editor) log(message string) {
	if e.cfg.Log != nil {
		e.cfg.Log("editor: " + message)
	}
}

func hasChange(d document.Document, c document.Change) bool {
	return slices.ContainsFunc(d.History, func(other document.Change) bool { return other.ID == c.ID })
}

// conflictError tells what other operators changed since base.
func conflictError(base document.Revision, now document.Document) error {
	var lines []string
	for _, c := range now.History {
		if c.Revision > base {
			lines = append(lines, fmt.Sprintf("revision %d by %s: %s", c.Revision, c.Author, c.Summary))
		}
	}
	if len(now.History) > 0 && now.History[0].Revision > base+1 {
		lines = append([]string{"earlier changes"}, lines...)
	}
	return port.Errorf(port.Conflict, "the document changed since revision %d: %s", base, strings.Join(lines, "; "))
}

// nothingChanged marks an error as one that is certain to have changed nothing.
func nothingChanged(err error, text string) error {
	return port.Wrapf(fmt.Errorf("%w: %w", ErrNothingChanged, err), port.KindOf(err), "%s", text)
}
