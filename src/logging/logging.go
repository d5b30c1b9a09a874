// Package logging writes the process's log as JSON lines with log/slog, including go-zero's messages.
package logging

import (
	"io"
	"log/slog"

	"github.com/zeromicro/go-zero/core/logx"
)

// New returns a logger that writes JSON lines of at least the given level ("debug", "info", "warn", "error"). An unknown
// level means info.
func New(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}

// RedirectGoZero redirects go-zero's messages of severity error and above to a logger. Its access log and periodic
// statistics stay off because metrics cover them. go-zero sets up its log only once, so its components cannot undo this
// later.
func RedirectGoZero(l *slog.Logger) {
	_ = logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"})
	logx.DisableStat()
	logx.SetWriter(&goZeroWriter{log: l.With("from", "go-zero")})
}

// goZeroWriter implements logx.Writer, go-zero's log output, with a slog logger.
type goZeroWriter struct{ log *slog.Logger }

// attrs converts go-zero's log fields to slog arguments.
func attrs(fields []logx.LogField) []any {
	out := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		out = append(out, f.Key, f.Value)
	}
	return out
}

// Alert implements logx.Writer.
func (a *goZeroWriter) Alert(v any) { a.log.Error("alert", "content", v) }

// Close implements logx.Writer.
func (a *goZeroWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (a *goZeroWriter) Debug(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Debug("debug", "content", v)
}

// Error implements logx.Writer.
func (a *goZeroWriter) Error(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Error("error", "content", v)
}

// Info implements logx.Writer.
func (a *goZeroWriter) Info(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Info("info", "content", v)
}

// Severe implements logx.Writer.
func (a *goZeroWriter) Severe(v any) { a.log.Error("severe", "content", v) }

// Slow implements logx.Writer.
func (a *goZeroWriter) Slow(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Warn("slow", "content", v)
}

// Stack implements logx.Writer.
func (a *goZeroWriter) Stack(v any) { a.log.Error("stack", "content", v) }

// Stat implements logx.Writer.
func (a *goZeroWriter) Stat(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Debug("stat", "content", v)
}
