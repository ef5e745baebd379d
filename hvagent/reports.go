package hvagent

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	reportInterval = 100 * time.Millisecond
	// minResendInterval and maxResendInterval bound the pause before a report is
	// sent again. The owner acknowledges a report once it is in the log, which
	// takes a flush of 100 ms, or as long as an outage of the log lasts.
	minResendInterval = 200 * time.Millisecond
	maxResendInterval = 5 * time.Second
	// reportsPerRound bounds the reports that are sent to each gate per round.
	reportsPerRound = 64
	// maxReports is larger than the number of reports that a ledger can hold.
	maxReports = 1 << 13
	// maxStartReports bounds the pending reports of starts. More can be dropped,
	// because heartbeats also list the running attempts.
	maxStartReports = 256
)

// reporter sends reports to all gates and repeats them until the owner of the
// shard has acknowledged them.
type reporter struct {
	agent  *Agent
	logger log.Logger

	mu      sync.Mutex
	starts  []hvhost.Report
	resends map[reportKey]resend
}

type reportKey struct {
	attempt hv.Attempt
	event   string
}

// resend is the time at which a report is sent again, and the interval up to it.
type resend struct {
	at       time.Time
	interval time.Duration
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, logger: a.logs.Component("report"), resends: map[reportKey]resend{}}
}

// addStart adds the report of a start. It drops the report if there are too many.
func (r *reporter) addStart(e hvhost.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.starts) < maxStartReports {
		r.starts = append(r.starts, e)
	}
}

// resendAll makes all reports due in the next round. It is called when a gate
// has been connected.
func (r *reporter) resendAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.resends)
}

func (r *reporter) run(ctx context.Context) {
	hvtick.Every(ctx, reportInterval, func() { r.sendDue(ctx) })
}

func (r *reporter) sendDue(ctx context.Context) {
	l := r.agent.tasks.ledger.Load()
	if l == nil {
		return
	}
	conns := r.agent.gates.connected()
	if len(conns) == 0 {
		return
	}
	due := r.due(l)
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() { r.send(ctx, c, l, due) })
	}
	wg.Wait()
}

// due returns the reports to send now and schedules when each is sent again.
func (r *reporter) due(l *hvhost.Ledger) []hvhost.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.agent.clock.Now()
	var due []hvhost.Report
	plans := make(map[reportKey]resend, len(r.resends))
	for _, e := range append(l.Reports(maxReports), r.pruneStarts(l)...) {
		key := reportKey{e.Attempt, e.Event}
		p := r.resends[key]
		if !now.Before(p.at) && len(due) < reportsPerRound {
			p.interval = min(max(2*p.interval, minResendInterval), maxResendInterval)
			p.at = now.Add(p.interval)
			due = append(due, e)
		}
		plans[key] = p
	}
	r.resends = plans
	return due
}

// pruneStarts drops the reports of starts whose attempts have ended and returns
// the others.
func (r *reporter) pruneStarts(l *hvhost.Ledger) []hvhost.Report {
	kept := r.starts[:0]
	for _, e := range r.starts {
		if _, held := l.Find(e.Attempt); held {
			kept = append(kept, e)
		}
	}
	r.starts = kept
	return kept
}

// send sends reports to one gate and stops when the gate does not respond.
func (r *reporter) send(ctx context.Context, c *hvwire.Conn, l *hvhost.Ledger, due []hvhost.Report) {
	host := r.agent.config().Host.Name
	for _, e := range due {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		ack, err := hvwire.Call[hvwire.Ack](call, c, hvwire.MethodReport, hvwire.Report{
			Host: host, Attempt: e.Attempt, Shard: e.Shard, Event: e.Event, Reason: e.Reason, Checkpoint: e.Checkpoint,
		})
		cancel()
		if err != nil && hv.KindOf(err) == hv.Uncertain {
			logWarn(r.logger, "msg", "gate did not respond to report", "attempt", e.Attempt, "event", e.Event, "gate", c.RemoteAddr(), "err", err)
			return
		}
		if err == nil && ack.OK {
			r.acknowledge(l, e)
		}
	}
}

func (r *reporter) acknowledge(l *hvhost.Ledger, e hvhost.Report) {
	logDebug(r.logger, "msg", "report acknowledged by owner", "attempt", e.Attempt, "event", e.Event)
	if e.Event != hvwire.EventStarted {
		l.Acknowledge(e.Attempt)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.starts {
		if r.starts[i].Attempt == e.Attempt {
			r.starts = append(r.starts[:i], r.starts[i+1:]...)
			return
		}
	}
}
