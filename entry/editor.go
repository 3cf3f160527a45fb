package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// SettleAttempts is how often an update is sent again, or looked up, after its answer was lost.
	SettleAttempts = 10
	// EditCall bounds each call of an edit to the store or to a relay.
	EditCall = 2 * time.Second

	// AuditDelay leaves the editor that made a change the time to write its audit record.
	AuditDelay = 5 * time.Second

	settlePause = 500 * time.Millisecond
	auditPrefix = "audit/"
)

// ErrNothingChanged is in the chain of an error of Apply that is certain to have changed nothing, although its kind
// leaves that open.
var ErrNothingChanged = errors.New("nothing was changed")

// EditRequest is a change that an operator asks for.
type EditRequest struct {
	Edit document.Edit
	// Base is the revision that the operator saw. Zero means that the edit fits any revision.
	Base   document.Revision
	Author string
	// Summary is the operator's reason. An empty one is replaced by what changed.
	Summary string
}

// EditFaults is the cause of an error of kind Invalid: what is wrong with an edit.
type EditFaults []document.Fault

// Error returns the faults, separated by semicolons.
func (f EditFaults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "; ")
}

// EditorConfig is what an Editor needs.
type EditorConfig struct {
	Self     instance.Instance
	Store    port.Store
	Relays   RelayClient
	Follower *Follower
	Timer    port.Timer
	Wall     port.WallClock
	// NewID returns a random identity for a change.
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

// stored is the document with the version that the store gave it.
type stored struct {
	document document.Document
	version  port.Version
}

// Apply changes the document and returns the new one when it is accepted. Errors are of kind Invalid, with EditFaults
// as the cause, Conflict when another operator changed the document, and Unavailable when it is not known whether the
// change was stored or whether it is in force.
func (e *Editor) Apply(ctx context.Context, r EditRequest) (document.Document, error) {
	current, err := e.read(ctx)
	if err != nil {
		return document.Document{}, port.Wrapf(fmt.Errorf("%w: %w", ErrNothingChanged, err), port.KindOf(err), "the document was not read")
	}
	if r.Base != 0 && r.Base != current.document.Revision {
		return document.Document{}, conflict(r.Base, current.document)
	}
	change := document.Change{ID: e.cfg.NewID(), Author: r.Author, Summary: r.Summary, At: e.cfg.Wall().UTC().Truncate(time.Millisecond)}
	next, faults := current.document.WithEdit(r.Edit, change)
	if len(faults) > 0 {
		return document.Document{}, port.Wrapf(EditFaults(faults), port.Invalid, "the edit is not possible")
	}
	if err := e.store(ctx, current, next); err != nil {
		return document.Document{}, err
	}
	if err := e.accept(ctx, next); err != nil {
		return next, err
	}
	if err := e.CompleteAudit(ctx, next); err != nil {
		e.log(fmt.Sprintf("the audit record of revision %d is completed later: %s", next.Revision, err))
	}
	return next, nil
}

// Run completes the audit records of editors that died before they wrote them, until ctx ends. One instance of the
// fleet does it.
func (e *Editor) Run(ctx context.Context) { e.loop(ctx) }

func (e *Editor) loop(ctx context.Context) {
	documents := ring.New[document.Document](1)
	if err := e.cfg.Follower.Subscribe(ctx, func(d document.Document) { documents.Push(d) }); err != nil {
		return
	}
	var logged document.Revision
	for {
		d, err := documents.Take(ctx)
		if err != nil {
			return
		}
		sleep(ctx, e.cfg.Timer, AuditDelay)
		if !e.cfg.Follower.List().IsFirstRelay(e.cfg.Self) {
			continue
		}
		err = e.CompleteAudit(ctx, d)
		if err == nil {
			continue
		}
		if logged != d.Revision {
			logged = d.Revision
			e.log(fmt.Sprintf("the audit records up to revision %d are completed later: %s", d.Revision, err))
		}
		documents.Offer(d)
	}
}

func (e *Editor) read(ctx context.Context) (stored, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCall)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, DocumentObject)
	if err != nil && port.KindOf(err) == port.NotFound {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	d, faults := document.Parse(object.Data)
	if len(faults) > 0 {
		return stored{}, port.Wrapf(EditFaults(faults), port.Internal, "the stored document has faults")
	}
	return stored{document: d, version: object.Version}, nil
}

// store puts next in the place of current. While the answer is unknown the same update is sent again: an update that
// is still on its way can then no longer take effect after the outcome was told.
func (e *Editor) store(ctx context.Context, current stored, next document.Document) error {
	data, faults := document.Encode(next)
	if len(faults) > 0 {
		return port.Wrapf(EditFaults(faults), port.Invalid, "the edit is not possible")
	}
	var err error
	for attempt := range SettleAttempts {
		if attempt > 0 {
			sleep(ctx, e.cfg.Timer, settlePause)
		}
		err = e.put(ctx, DocumentObject, data, current.version)
		if err == nil {
			return nil
		}
		if port.KindOf(err) == port.TooLarge || ctx.Err() != nil {
			return err
		}
		if port.KindOf(err) != port.Conflict {
			continue
		}
		var settled bool
		if settled, err = e.settle(ctx, current.document, next); settled {
			return err
		}
	}
	return port.Wrapf(err, port.Unavailable, "it is not known whether change %s was stored", next.Change.ID)
}

// settle reads the document after an update met another version, and reports whether the outcome is known.
func (e *Editor) settle(ctx context.Context, base, next document.Document) (bool, error) {
	now, err := e.read(ctx)
	if err != nil {
		return false, err
	}
	if hasChange(now.document, next.Change) {
		return true, nil
	}
	if len(now.document.History) > 0 && now.document.History[0].Revision > next.Revision {
		return e.settleByAudit(ctx, base, next, now.document)
	}
	return true, conflict(base.Revision, now.document)
}

// settleByAudit looks the change up in the audit records, after so many changes that the document's history no longer
// reaches back to it.
func (e *Editor) settleByAudit(ctx context.Context, base, next, now document.Document) (bool, error) {
	record, err := e.ReadAudit(ctx, next.Revision)
	if err != nil {
		return false, err
	}
	if record.ID == next.Change.ID {
		return true, nil
	}
	return true, conflict(base.Revision, now)
}

// accept puts the stored document in force here and at all relays of one data centre. While the store is down the
// instances rely on the vouches of the relays of all data centres, so an accepted change has to be known to every
// relay of at least one of them.
func (e *Editor) accept(ctx context.Context, next document.Document) error {
	if _, err := e.cfg.Follower.Take(ctx, next); err != nil {
		return err
	}
	list := e.readList(ctx)
	names := list.DataCentres()
	if len(names) == 0 {
		return nil
	}
	slices.SortStableFunc(names, func(a, b string) int { return e.distance(a) - e.distance(b) })
	for _, name := range names {
		if e.offerAll(ctx, list.Relays(name), next) {
			return nil
		}
	}
	return port.Failf(port.Unavailable, "revision %d is stored, but the relays of no data centre have confirmed it; "+
		"an instance that cannot reach the platform may still use the previous one", next.Revision)
}

// readList returns the list that the platform has now, and the one known when it does not answer.
func (e *Editor) readList(ctx context.Context) instance.List {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCall)
	defer cancel()
	instances, err := e.cfg.Store.Instances(limited)
	if err != nil {
		return e.cfg.Follower.List()
	}
	return instance.NewList(instances...)
}

// offerAll reports whether every relay has the document.
func (e *Editor) offerAll(ctx context.Context, relays []instance.Instance, next document.Document) bool {
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

func (e *Editor) offer(ctx context.Context, address string, next document.Document) bool {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCall)
	defer cancel()
	revision, err := e.cfg.Relays.Offer(limited, address, next)
	if err != nil {
		e.log(fmt.Sprintf("relay %s does not take revision %d: %s", address, next.Revision, err))
	}
	return err == nil && revision >= next.Revision
}

func (e *Editor) distance(dataCentre string) int {
	if dataCentre == e.cfg.Self.DataCentre {
		return 0
	}
	return 1
}

// CompleteAudit writes the missing audit records of the document's history, oldest first. A record therefore exists
// only if all earlier ones of the history do, and the search backwards can stop at the first that exists.
func (e *Editor) CompleteAudit(ctx context.Context, d document.Document) error {
	first := len(d.History)
	for first > 0 {
		_, err := e.ReadAudit(ctx, d.History[first-1].Revision)
		if err == nil {
			break
		}
		if port.KindOf(err) != port.NotFound {
			return err
		}
		first--
	}
	for _, change := range d.History[first:] {
		if err := e.writeAudit(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// ReadAudit returns the audit record of a revision.
func (e *Editor) ReadAudit(ctx context.Context, r document.Revision) (document.Change, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCall)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, auditName(r))
	if err != nil {
		return document.Change{}, err
	}
	var change document.Change
	if err := json.Unmarshal(object.Data, &change); err != nil {
		return document.Change{}, port.Wrapf(err, port.Internal, "audit record of revision %d cannot be read", r)
	}
	return change, nil
}

func (e *Editor) writeAudit(ctx context.Context, change document.Change) error {
	data, err := json.Marshal(change)
	if err != nil {
		return port.Wrapf(err, port.Internal, "audit record of revision %d cannot be written", change.Revision)
	}
	err = e.put(ctx, auditName(change.Revision), data, 0)
	if err != nil && port.KindOf(err) == port.Conflict {
		// Another instance wrote it from the same history.
		return nil
	}
	return err
}

func (e *Editor) put(ctx context.Context, name string, data []byte, expected port.Version) error {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCall)
	defer cancel()
	_, err := e.cfg.Store.Put(limited, name, data, expected)
	return err
}

func (e *Editor) log(line string) {
	if e.cfg.Log != nil {
		e.cfg.Log("editor: " + line)
	}
}

func hasChange(d document.Document, c document.Change) bool {
	return slices.ContainsFunc(d.History, func(other document.Change) bool { return other.ID == c.ID })
}

// conflict tells what other operators changed since base.
func conflict(base document.Revision, now document.Document) error {
	var lines []string
	for _, c := range now.History {
		if c.Revision > base {
			lines = append(lines, fmt.Sprintf("revision %d by %s: %s", c.Revision, c.Author, c.Summary))
		}
	}
	if len(now.History) > 0 && now.History[0].Revision > base+1 {
		lines = append([]string{"earlier changes"}, lines...)
	}
	return port.Failf(port.Conflict, "the document changed since revision %d: %s", base, strings.Join(lines, "; "))
}

func auditName(r document.Revision) string { return fmt.Sprintf("%s%d", auditPrefix, r) }
