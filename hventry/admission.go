package hventry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvshed"
)

const (
	// defaultDeadline is the time within which callers without a deadline expect a
	// response.
	defaultDeadline = 3 * time.Second
	// maxLoadAge is how long a report of the owner counts. It covers the time
	// between two responses of a slow owner.
	maxLoadAge = 2 * time.Second
	// downProbeInterval is the time between reads while the store responds to nobody.
	// They find out that it is back; no request of a caller is sent for that.
	downProbeInterval = 250 * time.Millisecond
	// maxTickGap is the time between two ticks from which this process stood still.
	maxTickGap = 2 * downProbeInterval
	// refusalPause is how long no request must be refused for the log to say so: at a
	// slow store refusals alternate with admissions.
	refusalPause = time.Second
)

// admission decides which requests are refused before anything is sent. Its state is
// lost with the process: a new gate admits all requests until it has measured the store.
type admission struct {
	clock   hv.Clock
	metrics *hvmetric.Registry
	logger  log.Logger
	returns *hvshed.Returns

	mu sync.Mutex
	// appends are the appends of this process, puts the records that it has sent to the
	// owner, and reads its reads that did not wait for records.
	appends, puts, reads hvshed.Calls
	// lastRead is when such a read last ended.
	lastRead time.Time
	// lastTick is when this process was last known to run.
	lastTick time.Time
	// ownerLoad is the last report of an owner in another process, received at
	// ownerLoadAt.
	ownerLoad   hvshed.Load
	ownerLoadAt time.Time
	slots       hvshed.Slots
	// refusing is true from a refusal until none has followed for refusalPause.
	refusing    bool
	lastRefusal time.Time
	refusals    int
}

func newAdmission(clock hv.Clock, metrics *hvmetric.Registry, logger log.Logger) *admission {
	return &admission{clock: clock, metrics: metrics, logger: logger, returns: hvshed.NewReturns()}
}

func (a *admission) appendBegins() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.appends.Begin(now)
	return now
}

func (a *admission) appendEnds(began time.Time, responded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appends.End(began, a.clock.Now(), responded)
}

// tick records that this process runs. It is called every downProbeInterval.
func (a *admission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.skipStandstill(a.clock.Now())
}

// skipStandstill leaves the time in which this process stood still out of that in which the
// store was silent. The lock is held.
func (a *admission) skipStandstill(now time.Time) {
	if gap := now.Sub(a.lastTick); !a.lastTick.IsZero() && gap > maxTickGap {
		a.appends.Skip(now, gap)
	}
	a.lastTick = now
}

// dataArrived records that the store responds. It is also called for each part of a
// page, because a page takes seconds over a slow link.
func (a *admission) dataArrived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appends.Responded(a.clock.Now())
}

func (a *admission) readBegins() time.Time { return a.clock.Now() }

// readEnds records the end of a read that waited for records for up to the given time. The
// duration of others depends on when records arrived.
func (a *admission) readEnds(began time.Time, wait time.Duration, responded bool) {
	if wait > 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRead = a.clock.Now()
	a.reads.End(began, a.lastRead, responded)
}

// sinceRead returns the time since the store was last measured by a read.
func (a *admission) sinceRead() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now().Sub(a.lastRead)
}

func (a *admission) putBegins() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.puts.Begin(now)
	return now
}

// putEnds records the end of a put to the owner in another process, with the owner's
// report if it stored the record.
func (a *admission) putEnds(began time.Time, report hvshed.Load, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.puts.End(began, now, err == nil)
	// An owner of a build before this reports nothing; one that does has measured at
	// least one append.
	if err == nil && report.ResponseMS > 0 && report.Check() == nil {
		a.ownerLoad, a.ownerLoadAt = report, now
	}
}

// ownerReported keeps a report of the owner.
func (a *admission) ownerReported(report hvshed.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerLoad, a.ownerLoadAt = report, a.clock.Now()
}

// response returns the expected duration of an append of this process.
func (a *admission) response() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appends.Response(a.clock.Now())
}

// ownerChanged forgets the queue of the owner before. The response time that it reported is
// that of the store.
func (a *admission) ownerChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerLoad.Records, a.ownerLoad.Bytes = 0, 0
}

// ownLoad returns the load of the appends of this process, with the given queue.
func (a *admission) ownLoad(records, bytes int) hvshed.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	return hvshed.Load{
		ResponseMS: max(a.appends.Response(now).Milliseconds(), 1), AgeMS: a.appends.Age(now).Milliseconds(),
		Records: records, Bytes: bytes,
	}
}

// remoteLoad returns the load of an owner in another process: its last report, and the
// records that this gate has sent to it since. A put without a response for longer than
// an append takes means that the append in progress is overdue.
func (a *admission) remoteLoad() hvshed.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	l := hvshed.Load{ResponseMS: a.appends.Response(now).Milliseconds()}
	if now.Sub(a.ownerLoadAt) <= maxLoadAge {
		l = a.ownerLoad
	}
	l.Records += a.puts.InProgress()
	l.AgeMS = max(a.puts.Age(now).Milliseconds()-l.ResponseMS, 0)
	return l
}

// storeIsSlow reports whether the store responds slowly to this process or to the owner. An
// append of this gate beside those of the owner would then delay both.
func (a *admission) storeIsSlow() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	slowOwner := now.Sub(a.ownerLoadAt) <= maxLoadAge && a.ownerLoad.Response() >= hvshed.SlowResponse
	return slowOwner || max(a.appends.Response(now), a.reads.Response(now)) >= hvshed.SlowResponse
}

// down reports whether the store responds to nobody.
func (a *admission) down() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.skipStandstill(now)
	return a.appends.Down(now)
}

// state returns what is known at the arrival of a request that goes the way of load.
func (a *admission) state(load hvshed.Load) hvshed.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.skipStandstill(now)
	s := hvshed.State{Down: a.appends.Down(now), Load: load}
	s.Outage = max(a.appends.SlowFor(now), a.puts.SlowFor(now))
	if s.Down {
		s.Outage = a.appends.Silence(now)
	}
	return s
}

// refuse returns the time after which the caller of a refused submission should return,
// and remembers the job. Other requests take no slot, because they go first.
func (a *admission) refuse(id string, s hvshed.State, left time.Duration, gates int) time.Duration {
	if id == "" {
		return time.Second
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	retry := a.slots.Next(now, s.RetryWait(left), hvshed.SlotInterval(a.appends.Response(now), gates))
	a.returns.Refuse(id, now, now.Add(retry))
	return retry
}

// record counts a decision, and logs when the gate begins and ends to refuse requests.
func (a *admission) record(d hvshed.Decision, s hvshed.State) {
	a.metrics.Add("hv_admission_total", 1, "outcome", string(d.Outcome), "reason", d.Reason)
	a.mu.Lock()
	now := a.clock.Now()
	refused := d.Outcome == hvshed.Refused
	changed := refused && !a.refusing || !refused && a.refusing && now.Sub(a.lastRefusal) > refusalPause
	if changed {
		a.refusing = refused
	}
	if refused {
		a.refusals++
		a.lastRefusal = now
	}
	refusals, silence := a.refusals, a.appends.Silence(now)
	a.mu.Unlock()
	a.metrics.Set("hv_store_response_ms", s.Load.Response().Milliseconds())
	a.metrics.Set("hv_puts_waiting", int64(s.Load.Records))
	if changed {
		_ = level.Info(a.logger).Log("msg", "refusal of requests before anything is sent began or ended", "refused", refused, "reason", d.Reason, "refusals", refusals, "wait", d.Wait, "response", s.Load.Response(), "silence", silence)
	}
}

// order returns the place of a request among those that wait, and the context in which
// it is stored: no request is held beyond the point at which its response is on time.
func (a *admission) order(ctx context.Context, id string, first bool) (context.Context, context.CancelFunc, hvshed.Order) {
	now := a.clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	o := hvshed.Order{First: first, Deadline: deadline.Add(-hvshed.RespondReserve)}
	if id != "" {
		o.RefusedAt = a.returns.Since(id, now)
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	return ctx, cancel, o
}
