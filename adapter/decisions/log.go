// Package decisions writes the decisions of an instance to a structured log. It never blocks, and it limits the rate of
// lines about requests.
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
	// maxQueuedEvents is the capacity of the queue of events that are not written yet. Further events are dropped and
	// counted.
	maxQueuedEvents = 1024
	// maxQueuedRequests is the number of queued events from which on events about requests are dropped. The rest is left
	// for events that change the instance's view of the cluster.
	maxQueuedRequests = 896
	// maxRequestLinesPerSecond limits the lines about requests. Events that change the instance's view of the cluster are
	// not subject to it.
	maxRequestLinesPerSecond = 50
	// successSampleInterval is the number of successful requests per logged one.
	successSampleInterval = 100
)

// Log writes events to a structured log. It implements proxy.Recorder.
type Log struct {
	logger   *zap.Logger
	requests *zap.Logger
	timer    port.Timer
	events   *ring.Ring[proxy.Event]
	// dropped is the number of events that were dropped because of the queue or the rate limit.
	dropped atomic.Uint64

	// The following fields are used only by the loop.
	successes       int
	currentSecond   int64
	linesThisSecond int
}

var _ proxy.Recorder = (*Log)(nil)

// New returns a log that writes the lines about requests to requests, and all others to logger.
func New(logger, requests *zap.Logger, timer port.Timer) *Log {
	return &Log{logger: logger, requests: requests, timer: timer, events: ring.New[proxy.Event](maxQueuedEvents)}
}

// Record queues an event. If the queue is full, it drops and counts the event.
func (l *Log) Record(e proxy.Event) {
	_, isRequest := e.(proxy.RequestCompleted)
	if isRequest && l.events.Len() >= maxQueuedRequests || !l.events.TryPut(e) {
		l.dropped.Add(1)
	}
}

// Dropped returns the number of dropped events.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Run writes events until ctx ends, and then those that are still queued.
func (l *Log) Run(ctx context.Context) { l.loop(ctx) }

func (l *Log) loop(ctx context.Context) {
	for {
		e, err := l.events.Take(ctx)
		if err != nil {
			l.writeQueued()
			return
		}
		l.write(e)
	}
}

// writeQueued writes the events that are still queued.
func (l *Log) writeQueued() {
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
		l.logger.Info("group: primary changed", zap.String("group", e.Group), zap.String("primary", e.Primary),
			zap.Uint64("term", uint64(e.Term)), zap.Bool("replacing", e.Replacing), zap.Duration("age", e.Age))
	case proxy.PromotionStep:
		l.logger.Info("promotion: "+e.Step, zap.String("group", e.Group), zap.String("server", e.Server),
			zap.Uint64("epoch", e.Epoch), zap.String("reason", e.Reason))
	case proxy.MemberUnresponsive:
		l.logger.Info("fleet: instance is silent", zap.String("name", e.Name), zap.Bool("removed", e.Removed))
	case proxy.PoolOwnerExcluded:
		l.logger.Info("pool: owner is passed over", zap.String("owner", e.Owner), zap.String("server", e.Server), zap.String("reason", e.Reason))
	case proxy.PoolReport:
		l.logger.Info("pool: connections chosen", zap.String("server", e.Server), zap.Int("total", e.Total), zap.Int("limit", e.Limit),
			zap.Int("opened", e.Opened), zap.Int("replaced", e.Replaced), zap.Int("prewarmed", e.Prewarmed), zap.Int("awaited", e.Awaited))
	case proxy.SpillShareChanged:
		l.logger.Info("spill-over: share changed", zap.String("group", e.Group), zap.String("server", e.Server), zap.Float64("share", e.Share),
			zap.String("reason", string(e.Reason)), zap.Duration("wait", e.Load.Wait), zap.Duration("run_time", e.Load.RunTime))
	case proxy.DocumentFinding:
		l.logger.Warn("document: finding", zap.Uint64("revision", uint64(e.Revision)), zap.String("severity", string(e.Finding.Severity)),
			zap.String("rule", string(e.Finding.Rule)), zap.String("section", e.Finding.Section), zap.String("key", e.Finding.Key),
			zap.String("given", e.Finding.Value), zap.String("correct", e.Finding.Correct))
	case proxy.DocumentChecked:
		l.logger.Info("document: checked", zap.Uint64("revision", uint64(e.Revision)), zap.Int("new_errors", e.Errors), zap.Int("new_warnings", e.Warnings))
	case proxy.PeerPanicked:
		l.logger.Error("peer: serving it failed unexpectedly", zap.String("peer", e.Peer), zap.String("reason", e.Reason), zap.String("stack", e.Stack))
	case proxy.MaintenanceUpdated, proxy.MaintenanceProgress:
		l.writeMaintenance(e)
	case proxy.WarmUpChanged:
		l.logger.Info("server: cold limit changed", zap.String("server", e.Server), zap.Bool("limited", e.Limited), zap.Bool("listed", e.Listed),
			zap.Float64("per_second", e.PerSecond))
	case proxy.WarmUpProgress:
		l.logger.Info("server: statements while cold", zap.String("server", e.Server), zap.Int("granted", e.Granted), zap.Int("refused", e.Refused))
	case proxy.ServerEjected:
		l.logger.Warn("server: avoided for reads", zap.String("group", e.Group), zap.String("server", e.Server), zap.String("reason", string(e.Reason)),
			zap.Duration("for", e.For))
	case proxy.SourceChanged:
		l.logger.Info("knowledge: source changed", zap.String("source", e.Source), zap.String("relay", e.Relay), zap.Strings("path", e.Path), zap.String("reason", e.Reason),
			zap.Duration("document_age", e.DocumentAge), zap.Duration("records_age", e.RecordsAge))
	}
}

func (l *Log) writeRequest(e proxy.RequestCompleted) {
	if e.Kind == "" {
		l.successes++
		if l.successes%successSampleInterval != 1 {
			return
		}
	}
	if !l.allowRequestLine() {
		l.dropped.Add(1)
		return
	}
	result := string(e.Kind)
	if result == "" {
		result = "success"
	}
	fields := []zap.Field{
		zap.String("request", e.ID), zap.String("result", result),
		zap.String("reason", e.Reason), zap.String("organisation", e.Organisation), zap.String("route", e.Route),
		zap.String("group", e.Group),
		zap.String("server", e.Server), zap.String("owner", e.PoolOwner), zap.Int("tries", e.Attempts), zap.Duration("took", e.Duration),
		zap.Uint64("revision", e.Revision), zap.Duration("document_age", e.DocumentAge),
		zap.Duration("primary_age", e.PrimaryAge),
	}
	if e.Spill.Server != "" {
		fields = append(fields, zap.String("spilled_to", e.Spill.Server), zap.Bool("spill_returned", e.Spill.Returned))
	}
	l.requests.Info("request: answered", fields...)
}

// allowRequestLine reports whether another line about a request may be written in this second. If the limit was
// exceeded in the previous second, it first logs the total number of dropped events.
func (l *Log) allowRequestLine() bool {
	second := int64(l.timer.Now() / time.Second)
	if second != l.currentSecond {
		if l.linesThisSecond > maxRequestLinesPerSecond {
			l.logger.Warn("log: lines were left out", zap.Uint64("total", l.dropped.Load()))
		}
		l.currentSecond, l.linesThisSecond = second, 0
	}
	l.linesThisSecond++
	return l.linesThisSecond <= maxRequestLinesPerSecond
}
