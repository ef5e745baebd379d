package hvlog_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const stream = "test"

// effectCounter is an applier that counts how often each operation takes effect.
type effectCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *effectCounter) Apply(rec hv.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range opNames(rec) {
		c.counts[name]++
	}
}

func (c *effectCounter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.counts)
}

func (c *effectCounter) Restore(body []byte, _ hv.Offset) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = map[string]int{}
	return json.Unmarshal(body, &c.counts)
}

func (c *effectCounter) String() string {
	b, _ := c.Snapshot()
	return string(b)
}

// opNames returns the operations of a record.
func opNames(rec hv.Record) []string {
	var ops []string
	if rec.Kind != "ops" || json.Unmarshal(rec.Body, &ops) != nil {
		return nil
	}
	return ops
}

func newOp(name string) hvlog.Op {
	b, _ := json.Marshal([]string{name})
	return hvlog.Op{Kind: "ops", Body: b}
}

func mergeOps(ops []hvlog.Op) (hvlog.Op, error) {
	var all []string
	for _, o := range ops {
		all = append(all, opNames(hv.Record{Kind: "ops", Body: o.Body})...)
	}
	b, err := json.Marshal(all)
	return hvlog.Op{Kind: "ops", Body: b}, err
}

// testProcess is a process with a follower and a writer of the stream.
type testProcess struct {
	state    *effectCounter
	follower *hvlog.Follower
	writer   *hvlog.Writer
	stop     context.CancelFunc
}

func startProcess(log hv.Log, name string, fetch hvlog.FetchFunc) *testProcess {
	ctx, stop := context.WithCancel(context.Background())
	p := &testProcess{state: &effectCounter{counts: map[string]int{}}, stop: stop}
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	var mu sync.Mutex
	jitter := func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() }
	logger := kitlog.NewNopLogger()
	p.follower = hvlog.NewFollower(hvlog.FollowerConfig{
		Stream: stream, Log: log, Clock: hv.SystemClock{}, Applier: p.state, Fetch: fetch, Jitter: jitter, Logger: logger,
	})
	p.writer = hvlog.NewWriter(hvlog.WriterConfig{
		Name: name, Stream: stream, Log: log, Clock: hv.SystemClock{}, Follower: p.follower, Merge: mergeOps, Jitter: jitter, Logger: logger,
	})
	go p.follower.Run(ctx)
	go p.writer.Run(ctx)
	return p
}

func (p *testProcess) append(name string, wait time.Duration) (hvlog.Receipt, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return p.writer.Append(ctx, newOp(name))
}

func (p *testProcess) snapshot(t interface{ Fatal(...any) }) {
	_, body, err := p.follower.Snapshot()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err = p.writer.Append(ctx, hvlog.Op{Kind: hvlog.KindSnapshot, Body: body, NoMerge: true})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// withVirtualTime runs a test in virtual time.
func withVirtualTime(t *testing.T, f func(t *testing.T, log *hvlogtest.Log)) {
	synctest.Test(t, func(t *testing.T) { f(t, hvlogtest.New(hv.SystemClock{}, 1)) })
}

// Guards against a process that starts on an empty stream and accepts nothing
// until its first long poll ends.
func TestEmptyStreamIsLoadedAtOnce(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		time.Sleep(500 * time.Millisecond)
		if !a.follower.Status().Loaded {
			t.Error("not loaded after half of the long-poll wait")
		}
	})
}

// Guards against a new reader that accepts records whose validity depends on
// records that have expired.
func TestNothingBeforeSnapshot(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		for i := range 6 {
			mustAppend(t, a, fmt.Sprint(i))
		}
		log.Expire(stream, 4)
		b := startProcess(log, "b", nil)
		defer b.stop()
		time.Sleep(5 * time.Second)
		if st := b.follower.Status(); st.Loaded || !st.Head.IsZero() || b.state.String() != "{}" {
			t.Fatalf("a reader without a snapshot is loaded: status %+v, state %s", st, b.state)
		}
		a.snapshot(t)
		mustAppend(t, a, "after")
		synctest.Wait()
		if st := b.follower.Status(); !st.Loaded || b.state.String() != a.state.String() {
			t.Fatalf("state %s differs from %s after a snapshot", b.state, a.state)
		}
	})
}

// Guards against restoring a snapshot although the records that follow its state
// have expired.
func TestSnapshotWithGapIsSkipped(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		mustAppend(t, a, "1")
		_, old, err := a.follower.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		mustAppend(t, a, "2")
		if _, err := a.writer.Append(t.Context(), hvlog.Op{Kind: hvlog.KindSnapshot, Body: old, NoMerge: true}); err != nil {
			t.Fatal(err)
		}
		log.Expire(stream, 3)
		b := startProcess(log, "b", nil)
		defer b.stop()
		time.Sleep(2 * time.Second)
		if b.follower.Status().Loaded {
			t.Fatal("restored from a snapshot without the record at offset 2")
		}
	})
}

// Guards against a reader that applies a duplicate, unlike its peers, because it
// started from a snapshot.
func TestSnapshotCarriesWriterSequences(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		mustAppend(t, a, "1")
		late := log.Records(stream)[0]
		other := startProcess(log, "other", nil)
		defer other.stop()
		synctest.Wait()
		other.snapshot(t)
		log.Expire(stream, 2)
		if _, err := log.Append(t.Context(), stream, late); err != nil {
			t.Fatal(err)
		}
		b := startProcess(log, "b", nil)
		defer b.stop()
		synctest.Wait()
		if b.state.String() != `{"1":1}` || b.follower.Status().Duplicates != 1 {
			t.Fatalf("state %s, status %+v", b.state, b.follower.Status())
		}
	})
}

// disconnectable is a log whose reads can be made to fail for one process.
type disconnectable struct {
	hv.Log
	disconnected atomic.Bool
}

func (d *disconnectable) Read(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	if d.disconnected.Load() {
		return hv.Page{}, errors.New("disconnected")
	}
	return d.Log.Read(ctx, name, from, limit, wait)
}

// Guards against a reader that is disconnected until records expire and then
// continues as if it had read them.
func TestReaderBehindExpiry(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		logB := &disconnectable{Log: log}
		b := startProcess(logB, "b", nil)
		defer b.stop()
		mustAppend(t, a, "1")
		// The other reader must have read the record too.
		time.Sleep(2 * time.Second)
		logB.disconnected.Store(true)
		time.Sleep(2 * time.Second)
		mustAppend(t, a, "2")
		mustAppend(t, a, "3")
		log.Expire(stream, 4)
		mustAppend(t, a, "4")
		logB.disconnected.Store(false)
		time.Sleep(5 * time.Second)
		if st := b.follower.Status(); st.Loaded || b.state.String() != `{"1":1}` {
			t.Fatalf("state %s, status %+v before a snapshot", b.state, st)
		}
		a.snapshot(t)
		time.Sleep(2 * time.Second)
		if !b.follower.Status().Loaded || b.state.String() != a.state.String() {
			t.Fatalf("state %s differs from %s after a snapshot", b.state, a.state)
		}
	})
}

// Guards against a reader that detects the end of an outage only when its long
// poll on an idle stream ends. Publications are refused until then.
func TestReturnIsNoticed(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		f := hvlog.NewFollower(hvlog.FollowerConfig{
			Stream: stream, Log: log, Clock: hv.SystemClock{}, Applier: &effectCounter{counts: map[string]int{}},
			Jitter: func() float64 { return 0.5 }, Logger: kitlog.NewNopLogger(),
			LongPollWait: func() time.Duration { return 8 * time.Second },
		})
		go f.Run(t.Context())
		for range 2 {
			log.SetFaults(hvlogtest.Faults{Down: true})
			time.Sleep(20 * time.Second)
			if f.Status().Reachable {
				t.Error("reachable during the outage")
			}
			log.SetFaults(hvlogtest.Faults{})
			// One second is the longest backoff between two reads.
			time.Sleep(time.Second + time.Millisecond)
			if st := f.Status(); !st.Reachable || !st.Loaded {
				t.Errorf("status %+v after the outage, want loaded and reachable", st)
			}
		}
	})
}

// Guards against a new process that has no state while the log is down although a
// peer has it, and against a head that is confirmed by a peer's state.
func TestPeerStateDuringOutage(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		a := startProcess(log, "a", nil)
		defer a.stop()
		mustAppend(t, a, "1")
		log.SetFaults(hvlogtest.Faults{Down: true})
		fetch := func(_ context.Context, after hv.Offset) ([]byte, error) {
			next, body, err := a.follower.Snapshot()
			if err != nil || next <= after {
				return nil, err
			}
			return body, nil
		}
		b := startProcess(log, "b", fetch)
		defer b.stop()
		time.Sleep(5 * time.Second)
		st := b.follower.Status()
		if !st.Loaded || st.Reachable || !st.Head.IsZero() || b.state.String() != a.state.String() {
			t.Fatalf("state %s, status %+v", b.state, st)
		}
		log.SetFaults(hvlogtest.Faults{})
		time.Sleep(3 * time.Second)
		if st := b.follower.Status(); !st.Reachable || time.Since(st.Head) > 2*time.Second {
			t.Fatalf("log not read after the end of the outage: status %+v", st)
		}
	})
}

// Guards against readers that compute different states from one stream under any
// combination of faults, expiries and restarts.
func TestReadersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTB{t}, func(t *rapid.T) {
			log := hvlogtest.New(hv.SystemClock{}, rapid.Uint64().Draw(t, "seed"))
			m := &readersModel{log: log, applied: map[string]bool{}, procs: []*testProcess{startProcess(log, "p0", nil)}}
			defer func() {
				for _, p := range m.procs {
					p.stop()
				}
				synctest.Wait()
			}()
			t.Repeat(map[string]func(*rapid.T){
				"append": m.append, "faults": m.faults, "start": m.startProcess, "stop": m.stopProcess, "expire": m.expire, "": m.check,
			})
		})
	})
}

// virtualTB hides the Deadline method of a test, which rapid would call and which
// cannot be used in virtual time.
type virtualTB struct{ testing.TB }

// readersModel starts and stops processes at random and keeps every record, from
// which check computes the expected state.
type readersModel struct {
	log         *hvlogtest.Log
	procs       []*testProcess
	records     []hv.Record
	applied     map[string]bool
	lastProcess int
	ops         int
	asOf        hv.Offset
}

func (m *readersModel) randomProcess(t *rapid.T) *testProcess {
	return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")]
}

func (m *readersModel) append(t *rapid.T) {
	m.ops++
	name := fmt.Sprint(m.ops)
	_, err := m.randomProcess(t).append(name, rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "wait"))
	switch hv.KindOf(err) {
	case hv.Uncertain:
	default:
		m.applied[name] = err == nil
	}
}

func (m *readersModel) faults(t *rapid.T) {
	m.log.SetFaults(hvlogtest.Faults{
		Down: rapid.Bool().Draw(t, "down"), LoseBeforeWrite: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "before"),
		LoseAfterWrite: rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "after"),
		Delay:          rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "slow"),
	})
}

func (m *readersModel) startProcess(*rapid.T) {
	if len(m.procs) < 4 {
		m.lastProcess++
		m.procs = append(m.procs, startProcess(m.log, fmt.Sprintf("p%d", m.lastProcess), nil))
	}
}

func (m *readersModel) stopProcess(t *rapid.T) {
	if i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "stopped process"); i > 0 {
		m.procs[i].stop()
		m.procs = append(m.procs[:i], m.procs[i+1:]...)
	}
}

// expire writes a snapshot without faults and then expires the records before it.
func (m *readersModel) expire(t *rapid.T) {
	m.clearFaults()
	m.asOf = m.procs[0].follower.Status().Next
	m.procs[0].snapshot(t)
	m.collectRecords()
	m.log.Expire(stream, m.asOf)
}

func (m *readersModel) clearFaults() {
	m.log.SetFaults(hvlogtest.Faults{})
	time.Sleep(20 * time.Second)
	m.collectRecords()
}

func (m *readersModel) collectRecords() {
	for _, rec := range m.log.Records(stream) {
		if int(rec.Offset) == len(m.records)+1 {
			m.records = append(m.records, rec)
		}
	}
}

// check compares the state of every reader with the expected one, which results
// from all records without those whose sequence number is not above the previous
// ones of their writer. It also compares the outcomes that callers received.
func (m *readersModel) check(t *rapid.T) {
	m.clearFaults()
	want := &effectCounter{counts: map[string]int{}}
	lastSequence := map[string]int64{}
	for _, rec := range m.records {
		writer, sequence, _ := hvlog.ParseID(rec.ID)
		if sequence > lastSequence[writer] {
			lastSequence[writer] = sequence
			want.Apply(rec)
		}
	}
	for i, p := range m.procs {
		if st := p.follower.Status(); !st.Loaded || int(st.Next) != len(m.records)+1 || p.state.String() != want.String() {
			t.Fatalf("process %d has state %s and status %+v, want state %s and next offset %d", i, p.state, st, want, len(m.records)+1)
		}
	}
	for name, wantApplied := range m.applied {
		if n := want.counts[name]; n > 1 || (n == 1) != wantApplied {
			t.Fatalf("operation %s took effect %d times, but its caller received success=%v", name, n, wantApplied)
		}
	}
}

func mustAppend(t *testing.T, p *testProcess, name string) hvlog.Receipt {
	t.Helper()
	r, err := p.append(name, time.Minute)
	if err != nil {
		t.Fatal(errors.Wrap(err, name))
	}
	return r
}
