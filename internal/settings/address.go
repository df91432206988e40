package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"
)

// Address is an IP number and a port, such as "127.0.0.1:8080".
type Address string

// UnmarshalText takes an IP number and a port.
func (a *Address) UnmarshalText(b []byte) error {
	if _, err := netip.ParseAddrPort(string(b)); err != nil {
		return errors.New("want an IP number and a port, such as \"127.0.0.1:8080\"")
	}
	*a = Address(b)
	return nil
}

// LogLevel is the least level that is logged.
type LogLevel string

// UnmarshalText takes debug, info, warn or error.
func (l *LogLevel) UnmarshalText(b []byte) error {
	switch string(b) {
	case "debug", "info", "warn", "error":
		*l = LogLevel(b)
		return nil
	}
	return errors.New("want debug, info, warn or error")
}

// Zap returns the level for zap.
func (l LogLevel) Zap() zapcore.Level {
	level, err := zapcore.ParseLevel(string(l))
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}
