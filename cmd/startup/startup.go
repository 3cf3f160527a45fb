// Package startup creates the logger and the identity of an instance for the commands that run one.
package startup

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
)

// NewIncarnation returns a random identity for one run of an instance. Errors are ignored because crypto/rand.Read never
// returns one.
func NewIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// NewLogger returns the logger of the process. Each component logs under its own name, which prefixes its lines.
func NewLogger(cfg settings.Log, w io.Writer) (*zap.Logger, error) {
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
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)), nil
}
