package hvworkertest

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// behavior is what a fake task does. A duration of 0 means that it runs until it is
// stopped.
type behavior struct {
	duration  time.Duration
	endState  string
	endReason string
	// load is the processor usage as a multiple of the declared need.
	load float64
}

// parseProgram returns the behavior of a task's program:
//
//   - "sleep" is done after the run time in its first argument.
//   - "fail" fails after that time.
//   - "spin" never ends and uses twice the declared processors.
//   - "hang" never ends and uses none of them.
//   - "once" does not support checkpoints and otherwise is like "sleep".
//
// Other programs run for the declared run time, or until they are stopped if there
// is none.
func parseProgram(t hv.Task) (behavior, error) {
	duration := t.Runtime.Std()
	if len(t.Args) > 0 {
		d, err := time.ParseDuration(t.Args[0])
		if err != nil && (t.Program == "sleep" || t.Program == "fail") {
			return behavior{}, errorf(hv.Invalid, "args[0]: %q is not a duration", t.Args[0])
		}
		if err == nil {
			duration = d
		}
	}
	switch t.Program {
	case "fail":
		return behavior{duration: max(duration, time.Millisecond), endState: hv.StateFailed, endReason: "the program failed", load: 1}, nil
	case "spin":
		return behavior{load: 2}, nil
	case "hang":
		return behavior{}, nil
	}
	return behavior{duration: duration, endState: hv.StateDone, load: 1}, nil
}

// listUsage returns the usage of the tasks at the time UsageLag ago.
func (w *Worker) listUsage() []hv.Usage {
	lag := w.options.UsageLag
	at := w.clock.Now().Add(-lag)
	all := []hv.Usage{}
	for _, r := range w.listAttempts() {
		t := w.tasks[r.Attempt.String()]
		if r.State != hv.StateRunning || t.startTime.After(at) {
			continue
		}
		scaled := func(n int64, factor float64) int64 { return int64(float64(n) * factor * w.options.UsageFactor) }
		all = append(all, hv.Usage{Attempt: r.Attempt, Age: hv.Duration(lag), Used: hv.Resources{
			Processors:   scaled(r.Task.Need.Processors, t.behavior.load*float64(t.shareAtTime(at))/fullShare),
			Memory:       hv.Size(scaled(int64(r.Task.Need.Memory), 1)),
			Accelerators: r.Task.Need.Accelerators,
		}})
	}
	return all
}

func (t *task) shareAtTime(at time.Time) int {
	share := fullShare
	for _, s := range t.shareHistory {
		if !s.time.After(at) {
			share = s.share
		}
	}
	return share
}

// maxShareChanges bounds the share changes that are remembered for usage reports.
const maxShareChanges = 256

func (t *task) throttle(at time.Time, share int) {
	t.attempt.Share = share
	if len(t.shareHistory) >= maxShareChanges {
		t.shareHistory = t.shareHistory[1:]
	}
	t.shareHistory = append(t.shareHistory, shareChange{at, share})
}
