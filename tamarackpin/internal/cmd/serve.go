package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/tamarackpin/internal/server"
)

// serveCommand runs an entry VM.
type serveCommand struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"The JSON settings file; docs/SETTINGS.md lists its keys."`
	stderr   io.Writer
}

// Execute runs until a signal or a drain.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		log := newLogger(c.stderr, zapcore.InfoLevel)
		event.Log(log, event.SettingsRefused, zap.String("file", c.Settings), zap.Strings("faults", faults(err)))
		return exit{exitUsage, nil}
	}
	log := newLogger(c.stderr, s.LogLevel.Zap())
	defer func() { _ = log.Sync() }() // standard error needs none
	v, err := server.New(s, log)
	if err != nil {
		event.Log(log, event.Fault, zap.Error(err))
		return exit{server.ExitCode(err), nil}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := v.Run(ctx); err != nil {
		event.Log(log, event.Fault, zap.Error(err))
		return exit{server.ExitCode(err), nil}
	}
	return nil
}

func newLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), level))
}
