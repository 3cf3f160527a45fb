// Package startup holds what the commands that run an instance need before it starts.
package startup

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
)

// NewIncarnation draws the identity of a start. crypto/rand does not fail.
func NewIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// NewLogger returns the logger of the process. Each part logs under its name, which is the prefix of its lines.
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
