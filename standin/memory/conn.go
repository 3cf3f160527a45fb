package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Conn is a client's connection to a Store. It implements port.Store and has its own faults in addition to those of the
// store.
type Conn struct {
	store *Store
	timer port.Timer

	mu     sync.Mutex
	faults Faults
	// applied is the number of updates that took effect, excluding delayed ones.
	applied int
}

var _ port.Store = (*Conn)(nil)

// UpdateFaults replaces the faults of this connection with the result of update.
func (c *Conn) UpdateFaults(update func(Faults) Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = update(c.faults)
}

// Get returns the object with the given name.
func (c *Conn) Get(ctx context.Context, name string) (port.Object, error) {
	if err := c.sendRequest(ctx); err != nil {
		return port.Object{}, err
	}
	object, err := c.store.get(name)
	if responseErr := c.receiveResponse(ctx); responseErr != nil {
		return port.Object{}, responseErr
	}
	return object, err
}

// Put writes an object if its current version equals expected.
func (c *Conn) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	var version port.Version
	err := c.update(ctx, func() error {
		var err error
		version, err = c.store.put(name, data, expected)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete removes an object if its current version equals expected.
func (c *Conn) Delete(ctx context.Context, name string, expected port.Version) error {
	return c.update(ctx, func() error { return c.store.remove(name, expected) })
}

// Watch waits until the object has a version other than seen.
func (c *Conn) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	if err := c.sendRequest(ctx); err != nil {
		return port.Object{}, false, err
	}
	timedOut := make(chan struct{})
	stop := c.store.timer.After(wait, func(time.Duration) { close(timedOut) })
	defer stop()
	select {
	case <-c.store.watch(name, seen):
	case <-timedOut:
	case <-ctx.Done():
		return port.Object{}, false, port.Wrapf(context.Cause(ctx), port.Unavailable, "watch was cancelled")
	}
	if err := c.receiveResponse(ctx); err != nil {
		return port.Object{}, false, err
	}
	object := c.store.Object(name)
	return object, object.Version != seen, nil
}

// List returns the objects whose names start with prefix, sorted by name and without their data.
func (c *Conn) List(ctx context.Context, prefix string) ([]port.Object, error) {
	if err := c.sendRequest(ctx); err != nil {
		return nil, err
	}
	objects := c.store.list(prefix)
	return objects, c.receiveResponse(ctx)
}

// Instances returns the platform's list of instances.
func (c *Conn) Instances(ctx context.Context) ([]instance.Instance, error) {
	if err := c.sendRequest(ctx); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	instances := slices.Clone(c.store.instances)
	c.store.mu.Unlock()
	return instances, c.receiveResponse(ctx)
}

// update sends an update to the store. The caller cannot distinguish a delayed update from a lost response.
func (c *Conn) update(ctx context.Context, apply func() error) error {
	if err := c.sendRequest(ctx); err != nil {
		return err
	}
	faults := c.currentFaults()
	if faults.updateDelay > 0 {
		c.store.timer.After(faults.updateDelay, func(time.Duration) { _ = apply() })
		return port.Errorf(port.Unavailable, "response was lost")
	}
	applied, err := c.apply(apply)
	if faults.losesResponse(applied, err) {
		return port.Errorf(port.Unavailable, "response was lost")
	}
	if responseErr := c.receiveResponse(ctx); responseErr != nil {
		return responseErr
	}
	return err
}

func (c *Conn) apply(apply func() error) (applied int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err = apply()
	if err == nil {
		c.applied++
	}
	return c.applied, err
}

func (c *Conn) currentFaults() Faults {
	c.store.mu.Lock()
	shared := c.store.faults
	c.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.combine(shared)
}

func (c *Conn) sendRequest(ctx context.Context) error {
	return c.transmit(ctx, c.currentFaults().requestLatency)
}

func (c *Conn) receiveResponse(ctx context.Context) error {
	return c.transmit(ctx, c.currentFaults().responseLatency)
}

// transmit simulates the transfer of a request or a response. It applies the faults that are active after the latency.
func (c *Conn) transmit(ctx context.Context, latency time.Duration) error {
	if latency > 0 {
		if err := port.Sleep(ctx, c.timer, latency); err != nil {
			return port.Wrapf(err, port.Unavailable, "store is not responding")
		}
	}
	faults := c.currentFaults()
	if faults.unresponsive {
		<-ctx.Done()
		return port.Wrapf(context.Cause(ctx), port.Unavailable, "store is not responding")
	}
	if faults.down {
		return port.Errorf(port.Unavailable, "store is not responding")
	}
	return nil
}
