// Package startup creates the log and the identity of an instance for the commands that run one.
package startup

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/adapter/logqueue"
	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
)

// NewIncarnation returns a random identity for one run of an instance. Errors are ignored because crypto/rand.Read never
// returns one.
func NewIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Log is the log of a process. Its lines are written by a queue, so that logging never blocks.
type Log struct {
	// Process is for lines about the process, which are dropped last. Each component logs under its own name, which
	// prefixes its lines.
	Process *zap.Logger
	// Requests is for lines about single requests and clients, which are dropped first.
	Requests *zap.Logger
	queue    *logqueue.Queue
}

// NewLog returns a log that writes to w. It must be closed. It fails if the level is unknown.
func NewLog(cfg settings.Log, w io.Writer) (*Log, error) {
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewConsoleEncoder(encoding)
	if cfg.Format == "json" {
		encoder = zapcore.NewJSONEncoder(encoding)
	}
	queue := logqueue.New(w)
	return &Log{
		Process:  zap.New(zapcore.NewCore(encoder, queue.Lines(), level)),
		Requests: zap.New(zapcore.NewCore(encoder, queue.BulkLines(), level)),
		queue:    queue,
	}, nil
}

// Dropped returns the number of lines that were dropped because nobody read the output in time.
func (l *Log) Dropped() uint64 { return l.queue.Dropped() }

// Close writes the remaining lines, unless nobody reads them.
func (l *Log) Close() { l.queue.Close() }
