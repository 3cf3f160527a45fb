package serve

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
)

// newLogger returns the logger of the process. Each part logs under its name, which is the prefix of its lines.
func newLogger(cfg settings.Log, w io.Writer) (*zap.Logger, error) {
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
