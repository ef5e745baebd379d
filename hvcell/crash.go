package hvcell

import (
	"strings"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

// logCrashes logs the crashes of a host's executor with the tasks under which other
// hosts have crashed before.
func (c *Cell) logCrashes(h *host, crashes []hvorder.Crash) {
	for _, k := range crashes {
		c.counts.Crashes++
		var again []string
		for _, r := range k.Runs {
			t := c.findTask(r.Task)
			if t == nil {
				continue
			}
			if t.crashedRuns++; t.crashedRuns > 1 {
				again = append(again, r.Task)
			}
		}
		_ = level.Warn(c.options.Logger).Log("msg", "executor of a host crashed", "host", h.name, "life", k.Incarnation, "runs", len(k.Runs), "youngest", k.Runs[0].Task, "age_ms", k.Runs[0].AgeMillis, "again", strings.Join(again, ","))
	}
}
