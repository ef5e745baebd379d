package hvagent

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// leveled is a logger whose level follows the settings.
type leveled struct {
	base log.Logger
	swap log.SwapLogger
}

func newLeveled(base log.Logger) *leveled {
	l := &leveled{base: base}
	l.set("info")
	return l
}

func (l *leveled) set(name string) {
	l.swap.Swap(level.NewFilter(l.base, level.Allow(level.ParseDefault(name, level.InfoValue()))))
}

// part returns a logger with the prefix of one part.
func (l *leveled) part(name string) log.Logger { return log.With(&l.swap, "part", name) }

func logError(l log.Logger, pairs ...any) { _ = level.Error(l).Log(pairs...) }
func logWarn(l log.Logger, pairs ...any)  { _ = level.Warn(l).Log(pairs...) }
func logInfo(l log.Logger, pairs ...any)  { _ = level.Info(l).Log(pairs...) }
func logDebug(l log.Logger, pairs ...any) { _ = level.Debug(l).Log(pairs...) }
