package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// outdatedReadInterval is the minimum time between two reads of the records because of instances that they lack. When all
// instances start together, one read finds many of them.
const outdatedReadInterval = 50 * time.Millisecond

// outdatedRecordsReader reads the records when another instance shows that they lack it.
type outdatedRecordsReader struct{ syncer *Syncer }

func (o *outdatedRecordsReader) loop(ctx context.Context) {
	c := o.syncer
	for {
		if _, err := c.cfg.State.RecordsOutdated().Take(ctx); err != nil {
			return
		}
		// After a failure, the next regular read supplies the records.
		_ = c.cfg.Readers.ReadRecords(ctx)
		_ = port.Sleep(ctx, c.cfg.Timer, outdatedReadInterval)
	}
}
