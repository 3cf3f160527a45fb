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
	// CollectPeriod is how often unreferenced sections are removed. At 12,000 changes a day an hour leaves about 1,000.
	CollectPeriod = time.Hour

	// deleteDelay keeps a collection below 100 deletions a second.
	deleteDelay = 10 * time.Millisecond
)

// SectionGCConfig is what a Collector needs.
type SectionGCConfig struct {
	Self     instance.Instance
	Store    port.Store
	Follower *Follower
	Timer    port.Timer
	// Log takes one line for the operator. It may be nil.
	Log func(line string)
}

// SectionGC is the duty of the first relay that removes the sections to which the index does not refer.
type SectionGC struct {
	cfg SectionGCConfig
}

// NewSectionGC returns a Collector.
func NewSectionGC(cfg SectionGCConfig) *SectionGC { return &SectionGC{cfg: cfg} }

// Run collects each CollectPeriod, while this instance is the first relay, until ctx ends.
func (c *SectionGC) Run(ctx context.Context) { c.loop(ctx) }

func (c *SectionGC) loop(ctx context.Context) {
	ticks := ring.New[time.Duration](1)
	stop := c.cfg.Timer.Every(CollectPeriod, func(now time.Duration) { ticks.PutDroppingOldest(now) })
	defer stop()
	for {
		if _, err := ticks.Take(ctx); err != nil {
			return
		}
		if !c.cfg.Follower.List().IsFirstRelay(c.cfg.Self) {
			continue
		}
		if removed, err := c.Collect(ctx); err != nil {
			c.log(fmt.Sprintf("%d unreferenced sections were removed, the others are removed later: %s", removed, err))
		}
	}
}

// Collect removes the unreferenced sections and returns their number. The order of its three steps is what makes it
// safe: an edit that began before the index is replaced fails, and the sections of one that began afterwards are not in
// the list.
func (c *SectionGC) Collect(ctx context.Context) (int, error) {
	listed, err := c.list(ctx)
	if err != nil {
		return 0, err
	}
	ix, found, err := c.incrementGCCount(ctx)
	if err != nil || !found {
		return 0, err
	}
	return c.remove(ctx, ix, listed)
}

func (c *SectionGC) list(ctx context.Context) (map[string]port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, EditCallTimeout)
	defer cancel()
	objects, err := c.cfg.Store.List(limited, document.SectionPrefix)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]port.Version, len(objects))
	for _, object := range objects {
		listed[object.Name] = object.Version
	}
	return listed, nil
}

// incrementGCCount replaces the index by the same one with its collection counter raised. It reports false when the store
// holds no index. When the answer is lost nothing is removed until the next collection.
func (c *SectionGC) incrementGCCount(ctx context.Context) (document.SectionIndex, bool, error) {
	reading, cancel := port.WithTimeout(ctx, c.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := c.cfg.Store.Get(reading, DocumentObject)
	if err != nil {
		return document.SectionIndex{}, false, err
	}
	form, faults := document.ParseStored(object.Data)
	if len(faults) > 0 {
		return document.SectionIndex{}, false, port.Wrapf(EditViolations(faults), port.Internal, "the stored document has faults")
	}
	ix, found := form.(document.SectionIndex)
	if !found {
		return document.SectionIndex{}, false, nil
	}
	ix = ix.WithGC()
	data, faults := document.EncodeIndex(ix)
	if len(faults) > 0 {
		return document.SectionIndex{}, false, port.Wrapf(EditViolations(faults), port.Internal, "the index cannot be written")
	}
	writing, cancelWriting := port.WithTimeout(ctx, c.cfg.Timer, EditCallTimeout)
	defer cancelWriting()
	_, err = c.cfg.Store.Put(writing, DocumentObject, data, object.Version)
	return ix, err == nil, err
}

// remove deletes the listed sections to which the index does not refer.
func (c *SectionGC) remove(ctx context.Context, ix document.SectionIndex, listed map[string]port.Version) (int, error) {
	names := make([]string, 0, len(listed))
	for name := range listed {
		names = append(names, name)
	}
	removed := 0
	for _, name := range ix.Unreferenced(names) {
		err := c.delete(ctx, name, listed[name])
		if err != nil && port.KindOf(err) != port.NotFound {
			return removed, err
		}
		removed++
		_ = port.Sleep(ctx, c.cfg.Timer, deleteDelay)
	}
	return removed, nil
}

func (c *SectionGC) delete(ctx context.Context, name string, version port.Version) error {
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, EditCallTimeout)
	defer cancel()
	return c.cfg.Store.Delete(limited, name, version)
}

func (c *SectionGC) log(line string) {
	if c.cfg.Log != nil {
		c.cfg.Log("collector: " + line)
	}
}
