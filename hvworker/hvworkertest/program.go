package hvworkertest

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// program is what a fake task does. A length of 0 means that it never ends by
// itself.
type program struct {
	length time.Duration
	state  string
	reason string
	// load is the use of processors as a multiple of the declared size.
	load float64
}

// programOf reads the program of a task: "sleep" is done after the run time
// in its first argument, "fail" fails after it, "spin" and "hang" never end
// and use twice and none of the declared processors, "once" cannot write a
// checkpoint and else is like "sleep". Other programs run for the declared run
// time, or until they are stopped without one.
func programOf(t hv.Task) (program, error) {
	length := t.Runtime.Std()
	if len(t.Args) > 0 {
		d, err := time.ParseDuration(t.Args[0])
		if err != nil && (t.Program == "sleep" || t.Program == "fail") {
			return program{}, errorf(hv.Invalid, "args[0]: %q is not a duration", t.Args[0])
		}
		if err == nil {
			length = d
		}
	}
	switch t.Program {
	case "fail":
		return program{length: max(length, time.Millisecond), state: hv.StateFailed, reason: "the program failed", load: 1}, nil
	case "spin":
		return program{load: 2}, nil
	case "hang":
		return program{}, nil
	}
	return program{length: length, state: hv.StateDone, load: 1}, nil
}

// usage reports what the tasks used one lag ago.
func (w *Worker) usage() []hv.Usage {
	lag := w.options.UsageLag
	at := w.clock.Now().Add(-lag)
	all := []hv.Usage{}
	for _, r := range w.list() {
		t := w.tasks[r.Attempt.String()]
		if r.State != hv.StateRunning || t.began.After(at) {
			continue
		}
		used := func(n int64, by float64) int64 { return int64(float64(n) * by * w.options.UsageFactor) }
		all = append(all, hv.Usage{Attempt: r.Attempt, Age: hv.Duration(lag), Used: hv.Resources{
			Processors:   used(r.Task.Need.Processors, t.program.load*float64(t.shareAt(at))/fullShare),
			Memory:       hv.Size(used(int64(r.Task.Need.Memory), 1)),
			Accelerators: r.Task.Need.Accelerators,
		}})
	}
	return all
}

func (t *task) shareAt(at time.Time) int {
	share := fullShare
	for _, s := range t.shares {
		if !s.at.After(at) {
			share = s.share
		}
	}
	return share
}

// maxShares bounds the record of throttling that lagging reports need.
const maxShares = 256

func (t *task) throttle(at time.Time, share int) {
	t.run.Share = share
	if len(t.shares) >= maxShares {
		t.shares = t.shares[1:]
	}
	t.shares = append(t.shares, shareAt{at, share})
}
