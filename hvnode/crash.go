package hvnode

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// maxCrashes bounds the crashes that a node keeps until the owner has stored them.
const maxCrashes = 16

// unknownAge is the age of a run that this node has not started.
const unknownAge = -1

// crashTracker records the runs on the executor, and after a crash which of them it
// ended. A crash is kept until the owner has stored it, so that it outlives an owner
// that is lost meanwhile. The node's lock protects it.
type crashTracker struct {
	// runs holds the runs that may be on the executor.
	runs map[hvorder.Run]startedRun
	// lastResponse is when the executor last responded, and failedAt when the first call
	// after it failed, or zero.
	lastResponse, failedAt time.Time
	// uncertainty is the time before failedAt in which the executor may have ended.
	uncertainty time.Duration
	// leaving is the incarnation that has announced its end, or empty.
	leaving string
	// crashes holds the crashes that are not acknowledged, lastNumber the number of the
	// last one and reported that of the last one sent on the current connection.
	crashes              []hvorder.Crash
	lastNumber, reported int64
}

// startedRun is a run that may be on the executor.
type startedRun struct {
	// sent is when its start was sent, or zero if another process sent it.
	sent time.Time
	// confirmed is true once the executor has responded to the start or listed the run.
	confirmed bool
}

// startSent records that a start is sent to the executor.
func (c *crashTracker) startSent(now time.Time, run hvorder.Run) {
	if c.runs == nil {
		c.runs = map[hvorder.Run]startedRun{}
	}
	if _, ok := c.runs[run]; !ok {
		c.runs[run] = startedRun{sent: now}
	}
}

// responded records a response of the executor.
func (c *crashTracker) responded(now time.Time) {
	c.lastResponse, c.failedAt, c.uncertainty = now, time.Time{}, 0
}

// confirm records that the executor has responded to the start of a run.
func (c *crashTracker) confirm(now time.Time, run hvorder.Run) {
	c.responded(now)
	r, ok := c.runs[run]
	if !ok {
		return
	}
	r.confirmed = true
	c.runs[run] = r
}

// neverStarted records that a run is not on the executor and cannot start there.
func (c *crashTracker) neverStarted(run hvorder.Run) { delete(c.runs, run) }

// listed records the lists of the executor. Unless complete is set, runs that are not
// in them may have started since.
func (c *crashTracker) listed(now time.Time, state hv.ExecutorState, complete bool) {
	c.responded(now)
	current := make(map[hvorder.Run]startedRun, len(state.Running))
	for _, r := range state.Running {
		known := c.runs[runOf(r)]
		known.confirmed = true
		current[runOf(r)] = known
	}
	if !complete {
		for run, known := range c.runs {
			if _, ok := current[run]; !ok {
				current[run] = known
			}
		}
	}
	for _, e := range state.Ended {
		delete(current, hvorder.Run{Task: e.Task, Run: e.Run})
	}
	c.runs = current
}

// maxNoticeDelay is the time that a node under load takes to notice that a connection
// has ended.
const maxNoticeDelay = 50 * time.Millisecond

// failed records a call that got no response. Until shortly before, a connection was
// open, unless the executor did not respond in time or refused the connection.
func (c *crashTracker) failed(now time.Time, err error) {
	refused := hv.KindOf(err) == hv.NotFound
	if !c.failedAt.IsZero() || hv.KindOf(err) != hv.Uncertain && !refused {
		return
	}
	c.failedAt = now
	c.uncertainty = now.Sub(c.lastResponse)
	if !isTimeout(err) && !refused {
		c.uncertainty = min(c.uncertainty, maxNoticeDelay)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.As(err, &netErr) && netErr.Timeout()
}

// executorEnded records the end of an incarnation. It returns the crash, or nil if the
// executor had announced its end or ran nothing.
func (c *crashTracker) executorEnded(now time.Time, incarnation string) *hvorder.Crash {
	runs, at := c.runs, c.failedAt
	if at.IsZero() {
		at = now
	}
	uncertainty := c.uncertainty
	c.runs, c.failedAt, c.uncertainty = nil, time.Time{}, 0
	if incarnation == c.leaving {
		return nil
	}
	crash := hvorder.Crash{Incarnation: incarnation, UncertaintyMillis: uncertainty.Milliseconds()}
	for run, r := range runs {
		if r.sent.After(at) {
			// The start was sent to an executor that had ended.
			continue
		}
		age := int64(unknownAge)
		if !r.sent.IsZero() {
			age = at.Sub(r.sent).Milliseconds()
		}
		crash.Runs = append(crash.Runs, hvorder.CrashedRun{Run: run, AgeMillis: age, Unconfirmed: !r.confirmed})
	}
	if len(crash.Runs) == 0 {
		return nil
	}
	slices.SortFunc(crash.Runs, func(a, b hvorder.CrashedRun) int {
		return cmp.Or(cmp.Compare(uint64(a.AgeMillis), uint64(b.AgeMillis)), cmp.Compare(a.Task, b.Task))
	})
	c.lastNumber++
	crash.Number = c.lastNumber
	c.crashes = append(c.crashes, crash)
	return &crash
}

// attached makes all crashes due on a new connection.
func (c *crashTracker) attached() { c.reported = 0 }

// unreported returns the crashes that were not sent on the current connection.
func (c *crashTracker) unreported() []hvorder.Crash {
	var out []hvorder.Crash
	for _, k := range c.crashes {
		if k.Number > c.reported {
			out = append(out, k)
			c.reported = k.Number
		}
	}
	return out
}

// acknowledged forgets the crashes that the owner has stored.
func (c *crashTracker) acknowledged(number int64) {
	c.crashes = slices.DeleteFunc(c.crashes, func(k hvorder.Crash) bool { return k.Number <= number })
}

// recordExecutorEnd records the end of an incarnation of the executor and logs it if
// it was a crash. The lock is held.
func (n *Node) recordExecutorEnd(incarnation string) {
	n.keepLastEnds()
	crash := n.crash.executorEnded(n.deps.Clock.Now(), incarnation)
	if crash == nil {
		return
	}
	youngest := crash.Runs[0]
	_ = level.Warn(n.deps.Logger).Log("msg", "executor crashed", "life", incarnation, "runs", len(crash.Runs), "youngest", youngest.Task, "age_ms", youngest.AgeMillis, "confirmed", !youngest.Unconfirmed, "uncertain_ms", crash.UncertaintyMillis)
	if len(n.crash.crashes) > maxCrashes {
		_ = level.Error(n.deps.Logger).Log("msg", "too many crashes of the executor are not stored by the owner; the oldest is dropped", "life", n.crash.crashes[0].Incarnation, "limit", maxCrashes)
		n.crash.crashes = n.crash.crashes[1:]
	}
}
