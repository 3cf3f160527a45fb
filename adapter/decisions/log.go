// Package decisions writes the decisions of an instance as structured log lines, bounded in number and never blocking.
package decisions

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// backlog is how many events wait for the log. When more come, they are left out and counted.
	backlog = 1024
	// linesPerSecond bounds the lines about requests; decisions that change what the instance believes are always kept.
	linesPerSecond = 50
	// successEvery is the number of successful requests of which one is logged.
	successEvery = 100
)

// Log is the duty that writes events. It implements proxy.Recorder.
type Log struct {
	zap    *zap.Logger
	timer  port.Timer
	events *ring.Ring[proxy.Event]
	// left counts the events that were not written.
	left atomic.Uint64

	// The following belong to the loop.
	successes int
	second    int64
	lines     int
}

var _ proxy.Recorder = (*Log)(nil)

// New returns a log that writes to z.
func New(z *zap.Logger, timer port.Timer) *Log {
	return &Log{zap: z, timer: timer, events: ring.New[proxy.Event](backlog)}
}

// Record takes an event. When the log is behind, the event is left out and counted.
func (l *Log) Record(e proxy.Event) {
	if !l.events.TryPut(e) {
		l.left.Add(1)
	}
}

// Dropped returns the number of events that were not written.
func (l *Log) Dropped() uint64 { return l.left.Load() }

// Run writes until ctx ends.
func (l *Log) Run(ctx context.Context) { l.loop(ctx) }

func (l *Log) loop(ctx context.Context) {
	for {
		e, err := l.events.Take(ctx)
		if err != nil {
			l.drain()
			return
		}
		l.write(e)
	}
}

// drain writes what is left at the end.
func (l *Log) drain() {
	for {
		e, ok := l.events.TryTake()
		if !ok {
			return
		}
		l.write(e)
	}
}

func (l *Log) write(e proxy.Event) {
	switch e := e.(type) {
	case proxy.RequestCompleted:
		l.writeRequest(e)
	case proxy.PrimaryChanged:
		l.zap.Info("group: primary changed", zap.String("group", e.Group), zap.String("primary", e.Primary),
			zap.Uint64("term", uint64(e.Term)), zap.Bool("replacing", e.Replacing), zap.Duration("age", e.Age))
	case proxy.PromotionStep:
		l.zap.Info("promotion: "+e.Step, zap.String("group", e.Group), zap.String("server", e.Server),
			zap.Uint64("epoch", e.Epoch), zap.String("reason", e.Reason))
	case proxy.MemberUnresponsive:
		l.zap.Info("fleet: instance is silent", zap.String("name", e.Name), zap.Bool("removed", e.Removed))
	case proxy.PoolOwnerExcluded:
		l.zap.Info("pool: owner is passed over", zap.String("owner", e.Owner), zap.String("server", e.Server), zap.String("reason", e.Reason))
	case proxy.SourceChanged:
		l.zap.Info("knowledge: source changed", zap.String("source", e.Source), zap.String("reason", e.Reason))
	}
}

func (l *Log) writeRequest(e proxy.RequestCompleted) {
	if e.Kind == "" {
		l.successes++
		if l.successes%successEvery != 1 {
			return
		}
	}
	if !l.mayWrite() {
		l.left.Add(1)
		return
	}
	result := string(e.Kind)
	if result == "" {
		result = "success"
	}
	l.zap.Info("request: answered", zap.String("request", e.ID), zap.String("result", result),
		zap.String("reason", e.Reason), zap.String("organisation", e.Organisation), zap.String("route", e.Route),
		zap.String("group", e.Group),
		zap.String("server", e.Server), zap.String("owner", e.PoolOwner), zap.Int("tries", e.Attempts), zap.Duration("took", e.Duration),
		zap.Uint64("revision", e.Revision), zap.Duration("document_age", e.DocumentAge),
		zap.Duration("primary_age", e.PrimaryAge))
}

// mayWrite reports whether another line about a request may be written in this second. The first line of a second tells
// how many events were left out so far.
func (l *Log) mayWrite() bool {
	second := int64(l.timer.Now() / time.Second)
	if second != l.second {
		if l.lines > linesPerSecond {
			l.zap.Warn("log: lines were left out", zap.Uint64("total", l.left.Load()))
		}
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= linesPerSecond
}
