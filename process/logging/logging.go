// Package logging builds the logger of a process. Which events exist is told by
// package event.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options shape the log.
type Options struct {
	// Decisions writes a line for each routing and placement decision.
	Decisions bool
	// Console writes lines for people; otherwise each line is a JSON object.
	Console bool
}

// New returns a logger that writes one line for each event. The second result
// flushes it.
func New(w io.Writer, options Options) (logr.Logger, func()) {
	level := zapcore.InfoLevel
	if options.Decisions {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(encoder(options.Console), zapcore.Lock(zapcore.AddSync(w)), level)
	logger := zap.New(core)
	return zapr.NewLogger(logger), func() { _ = logger.Sync() }
}

func encoder(console bool) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	if console {
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}
