// Package logging builds the logger of a process. The events that it logs are defined
// with package event.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options configures a logger.
type Options struct {
	// Decisions enables a line for each routing and placement decision.
	Decisions bool
	// Console selects human-readable lines instead of JSON objects.
	Console bool
}

// New returns a logger that writes one line per event to w, and a function that flushes
// it.
func New(w io.Writer, options Options) (logr.Logger, func()) {
	level := zapcore.InfoLevel
	if options.Decisions {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(newEncoder(options.Console), zapcore.Lock(zapcore.AddSync(w)), level)
	logger := zap.New(core)
	return zapr.NewLogger(logger), func() { _ = logger.Sync() }
}

func newEncoder(console bool) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	if console {
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}
