package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// CollectPeriod is the interval between garbage collections. At 12,000 changes a day, about 1,000 sections become
	// unreferenced in that time.
	CollectPeriod = time.Hour

	// deleteDelay limits a collection to 100 deletions per second.
	deleteDelay = 10 * time.Millisecond
)

// SectionGCConfig configures a SectionGC.
type SectionGCConfig struct {
	Self     instance.Instance
	Store    port.Store
	Follower *Follower
	Timer    port.Timer
	// Log writes one line to the log. It may be nil.
	Log func(line string)
}

// SectionGC is the garbage collector of sections to which the index does not refer. It is active only on the first relay.
type SectionGC struct {
	cfg SectionGCConfig
}

// NewSectionGC returns a SectionGC.
func NewSectionGC(cfg SectionGCConfig) *SectionGC { return &SectionGC{cfg: cfg} }

// Run collects garbage every CollectPeriod while this instance is the first relay, until ctx ends.
func (gc *SectionGC) Run(ctx context.Context) { gc.loop(ctx) }

func (gc *SectionGC) loop(ctx context.Context) {
	ticks := ring.New[time.Duration](1)
	stop := gc.cfg.Timer.Every(CollectPeriod, func(now time.Duration) { ticks.PutDroppingOldest(now) })
	defer stop()
	for {
		if _, err := ticks.Take(ctx); err != nil {
			return
		}
		if !gc.cfg.Follower.List().IsFirstRelay(gc.cfg.Self) {
			continue
		}
		if removed, err := gc.Collect(ctx); err != nil {
			gc.log(fmt.Sprintf("removed %d unreferenced sections, will retry the others: %s", removed, err))
		}
	}
}

// Collect removes the unreferenced sections and returns their number. It is safe because of the order of its three steps:
// an edit that began before the index is replaced fails, and the sections of an edit that began later are not in the
// list.
func (gc *SectionGC) Collect(ctx context.Context) (int, error) {
	listed, err := gc.list(ctx)
	if err != nil {
		return 0, err
	}
	ix, found, err := gc.incrementGCCount(ctx)
	if err != nil || !found {
		return 0, err
	}
	return gc.remove(ctx, ix, listed)
}

func (gc *SectionGC) list(ctx context.Context) (map[string]port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, gc.cfg.Timer, EditCallTimeout)
	defer cancel()
	objects, err := gc.cfg.Store.List(limited, document.SectionPrefix)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]port.Version, len(objects))
	for _, object := range objects {
		listed[object.Name] = object.Version
	}
	return listed, nil
}

// incrementGCCount increments the garbage collection counter of the index. It reports false if the store has no index. If
// the answer is lost, nothing is removed until the next collection.
func (gc *SectionGC) incrementGCCount(ctx context.Context) (document.SectionIndex, bool, error) {
	reading, cancel := port.WithTimeout(ctx, gc.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := gc.cfg.Store.Get(reading, DocumentObject)
	if err != nil {
		return document.SectionIndex{}, false, err
	}
	form, violations := document.ParseStored(object.Data)
	if len(violations) > 0 {
		return document.SectionIndex{}, false, port.Wrapf(EditViolations(violations), port.Internal, "the stored document is invalid")
	}
	ix, found := form.(document.SectionIndex)
	if !found {
		return document.SectionIndex{}, false, nil
	}
	ix = ix.WithGC()
	data, violations := document.EncodeIndex(ix)
	if len(violations) > 0 {
		return document.SectionIndex{}, false, port.Wrapf(EditViolations(violations), port.Internal, "cannot encode the index")
	}
	writing, cancelWriting := port.WithTimeout(ctx, gc.cfg.Timer, EditCallTimeout)
	defer cancelWriting()
	_, err = gc.cfg.Store.Put(writing, DocumentObject, data, object.Version)
	return ix, err == nil, err
}

// remove deletes the listed sections to which the index does not refer.
func (gc *SectionGC) remove(ctx context.Context, ix document.SectionIndex, listed map[string]port.Version) (int, error) {
	names := make([]string, 0, len(listed))
	for name := range listed {
		names = append(names, name)
	}
	removed := 0
	for _, name := range ix.Unreferenced(names) {
		err := gc.delete(ctx, name, listed[name])
		if err != nil && port.KindOf(err) != port.NotFound {
			return removed, err
		}
		removed++
		_ = port.Sleep(ctx, gc.cfg.Timer, deleteDelay)
	}
	return removed, nil
}

func (gc *SectionGC) delete(ctx context.Context, name string, version port.Version) error {
	limited, cancel := port.WithTimeout(ctx, gc.cfg.Timer, EditCallTimeout)
	defer cancel()
	return gc.cfg.Store.Delete(limited, name, version)
}

func (gc *SectionGC) log(line string) {
	if gc.cfg.Log != nil {
		gc.cfg.Log("collector: " + line)
	}
}
