// Package logging writes JSON lines through log/slog, go-zero's own messages among them.
package logging

import (
	"io"
	"log/slog"

	"github.com/zeromicro/go-zero/core/logx"
)

// New makes a logger of JSON lines at a level ("debug", "info", "warn", "error"); an unknown level
// means info.
func New(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}

// Adopt sends go-zero's own messages, errors and worse, through a logger. Its line for every HTTP
// exchange and its periodic statistics stay off: metrics tell them better. go-zero sets its log up
// once only, so that doing it here keeps its components from doing it later.
func Adopt(l *slog.Logger) {
	_ = logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"})
	logx.DisableStat()
	logx.SetWriter(&adopted{log: l.With("from", "go-zero")})
}

// adopted is go-zero's writer over a slog logger.
type adopted struct{ log *slog.Logger }

func attrs(fields []logx.LogField) []any {
	out := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		out = append(out, f.Key, f.Value)
	}
	return out
}

// Alert implements logx.Writer.
func (a *adopted) Alert(v any) { a.log.Error("alert", "content", v) }

// Close implements logx.Writer.
func (a *adopted) Close() error { return nil }

// Debug implements logx.Writer.
func (a *adopted) Debug(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Debug("debug", "content", v)
}

// Error implements logx.Writer.
func (a *adopted) Error(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Error("error", "content", v)
}

// Info implements logx.Writer.
func (a *adopted) Info(v any, f ...logx.LogField) { a.log.With(attrs(f)...).Info("info", "content", v) }

// Severe implements logx.Writer.
func (a *adopted) Severe(v any) { a.log.Error("severe", "content", v) }

// Slow implements logx.Writer.
func (a *adopted) Slow(v any, f ...logx.LogField) { a.log.With(attrs(f)...).Warn("slow", "content", v) }

// Stack implements logx.Writer.
func (a *adopted) Stack(v any) { a.log.Error("stack", "content", v) }

// Stat implements logx.Writer.
func (a *adopted) Stat(v any, f ...logx.LogField) {
	a.log.With(attrs(f)...).Debug("stat", "content", v)
}
