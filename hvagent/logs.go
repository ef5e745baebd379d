package hvagent

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

func logError(l log.Logger, pairs ...any) { _ = level.Error(l).Log(pairs...) }
func logWarn(l log.Logger, pairs ...any)  { _ = level.Warn(l).Log(pairs...) }
func logInfo(l log.Logger, pairs ...any)  { _ = level.Info(l).Log(pairs...) }
func logDebug(l log.Logger, pairs ...any) { _ = level.Debug(l).Log(pairs...) }
