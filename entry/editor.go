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
	// UpdateAttempts limits how often an update is sent, or its outcome looked up, if answers are lost.
	UpdateAttempts = 10
	// EditCallTimeout limits each call of an edit to the store or to a relay.
	EditCallTimeout = 2 * time.Second

	// OfferWait is how long an editor waits for a relay to read a change from the store before it sends the full document
	// to the relay. A relay that watches the store has the change within milliseconds.
	OfferWait = 500 * time.Millisecond

	// AuditDelay gives the editor that made a change time to write its audit record first.
	AuditDelay = 5 * time.Second

	updateRetryDelay = 500 * time.Millisecond
	auditPrefix      = "audit/"
)

// ErrNothingChanged is in the chain of an error of Apply if the edit certainly changed nothing, although the error's
// kind does not imply that.
var ErrNothingChanged = errors.New("nothing was changed")

// EditRequest is a change requested by an operator.
type EditRequest struct {
	Edit document.Edit
	// BaseRevision is the revision on which the operator based the edit. Zero permits any revision.
	BaseRevision document.Revision
	Author       string
	// Summary is the operator's description. If it is empty, a description of the change is generated.
	Summary string
}

// EditViolations is the cause of an error of kind Invalid. It lists the rules that an edit violates.
type EditViolations []document.Violation

// Error returns the violations, separated by semicolons.
func (v EditViolations) Error() string {
	messages := make([]string, 0, len(v))
	for _, violation := range v {
		messages = append(messages, violation.String())
	}
	return strings.Join(messages, "; ")
}

// EditorConfig configures an Editor.
type EditorConfig struct {
	Self     instance.Instance
	Store    port.Store
	Relays   RelayClient
	Follower *Follower
	Timer    port.Timer
	Wall     port.WallClock
	// NewID returns a random ID for a change or for an attempt to write sections.
	NewID func() string
	// Log writes one line to the log. It may be nil.
	Log func(line string)
}

// Editor applies the operators' edits to the document in the store.
type Editor struct {
	cfg EditorConfig
}

// NewEditor returns an Editor.
func NewEditor(cfg EditorConfig) *Editor { return &Editor{cfg: cfg} }

// Apply applies an edit and returns the new document. Errors are of kind Invalid, with EditViolations as the cause,
// Conflict if another operator has changed the document, or Unavailable if it is not known whether the change was stored
// or is in force.
func (e *Editor) Apply(ctx context.Context, r EditRequest) (document.Document, error) {
	current, base, err := e.readBase(ctx)
	if err != nil {
		return document.Document{}, nothingChanged(err, "cannot read the document")
	}
	if r.BaseRevision != 0 && r.BaseRevision != base.Revision {
		return document.Document{}, conflictError(r.BaseRevision, base)
	}
	change := document.Change{ID: e.cfg.NewID(), Author: r.Author, Summary: r.Summary, At: e.cfg.Wall().UTC().Truncate(time.Millisecond)}
	next, violations := base.WithEdit(r.Edit, change)
	if len(violations) > 0 {
		return document.Document{}, port.Wrapf(EditViolations(violations), port.Invalid, "the edit is invalid")
	}
	if err := e.storeEdit(ctx, current, base, next); err != nil {
		return document.Document{}, err
	}
	if err := e.distribute(ctx, next); err != nil {
		return next, err
	}
	if err := e.CompleteAudit(ctx, next); err != nil {
		e.log(fmt.Sprintf("cannot write the audit record of revision %d, will retry: %s", next.Revision, err))
	}
	return next, nil
}

// distribute installs the stored document here and at all relays of one data centre. While the store is down, instances
// rely on the attestations of the relays of all data centres, so every relay of at least one data centre must know an
// accepted change.
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

// readList returns the platform's current list of instances, or the last known one if the platform does not answer.
func (e *Editor) readList(ctx context.Context) instance.List {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	instances, err := e.cfg.Store.Instances(limited)
	if err != nil {
		return e.cfg.Follower.List()
	}
	return instance.NewList(instances...)
}

// offerToAll offers the document to each relay and reports whether all of them have it.
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

// offer reports whether the relay has the document. A relay that can read the store gets the document from there, so the
// full document is sent only to a relay that does not confirm the revision.
func (e *Editor) offer(ctx context.Context, address string, next document.Document) bool {
	revision, err := e.awaitRevision(ctx, address, next.Revision)
	if err != nil || revision < next.Revision {
		limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
		defer cancel()
		revision, err = e.cfg.Relays.Offer(limited, address, next)
	}
	if err != nil {
		e.log(fmt.Sprintf("relay %s did not install revision %d: %s", address, next.Revision, err))
	}
	return err == nil && revision >= next.Revision
}

// awaitRevision returns the relay's revision as soon as it is at least r, and after OfferWait at the latest.
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

// conflictError describes what other operators have changed since base.
func conflictError(base document.Revision, latest document.Document) error {
	var lines []string
	for _, c := range latest.History {
		if c.Revision > base {
			lines = append(lines, fmt.Sprintf("revision %d by %s: %s", c.Revision, c.Author, c.Summary))
		}
	}
	if len(latest.History) > 0 && latest.History[0].Revision > base+1 {
		lines = append([]string{"earlier changes"}, lines...)
	}
	return port.Errorf(port.Conflict, "the document changed since revision %d: %s", base, strings.Join(lines, "; "))
}

// nothingChanged marks an error after which nothing can have changed.
func nothingChanged(err error, text string) error {
	return port.Wrapf(fmt.Errorf("%w: %w", ErrNothingChanged, err), port.KindOf(err), "%s", text)
}
