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

// tally counts the effects of each operation.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *tally) Apply(rec hv.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names(rec) {
		a.counts[name]++
	}
}

func (a *tally) Snapshot() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return json.Marshal(a.counts)
}

func (a *tally) Restore(body []byte, _ hv.Offset) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts = map[string]int{}
	return json.Unmarshal(body, &a.counts)
}

func (a *tally) String() string {
	b, _ := a.Snapshot()
	return string(b)
}

// names returns the operations of a record.
func names(rec hv.Record) []string {
	var list []string
	if rec.Kind != "ops" || json.Unmarshal(rec.Body, &list) != nil {
		return nil
	}
	return list
}

func op(name string) hvlog.Op {
	b, _ := json.Marshal([]string{name})
	return hvlog.Op{Kind: "ops", Body: b}
}

func merge(ops []hvlog.Op) (hvlog.Op, error) {
	var all []string
	for _, o := range ops {
		all = append(all, names(hv.Record{Kind: "ops", Body: o.Body})...)
	}
	b, err := json.Marshal(all)
	return hvlog.Op{Kind: "ops", Body: b}, err
}

// process is one reader and writer of the stream.
type process struct {
	state    *tally
	follower *hvlog.Follower
	writer   *hvlog.Writer
	stop     context.CancelFunc
}

func start(log hv.Log, name string, fetch hvlog.FetchFunc) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{state: &tally{counts: map[string]int{}}, stop: stop}
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	var mu sync.Mutex
	jitter := func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() }
	logger := kitlog.NewNopLogger()
	p.follower = hvlog.NewFollower(hvlog.FollowerConfig{
		Stream: stream, Log: log, Clock: hv.SystemClock{}, Applier: p.state, Fetch: fetch, Jitter: jitter, Logger: logger,
	})
	p.writer = hvlog.NewWriter(hvlog.WriterConfig{
		Name: name, Stream: stream, Log: log, Clock: hv.SystemClock{}, Follower: p.follower, Merge: merge, Jitter: jitter, Logger: logger,
	})
	go p.follower.Run(ctx)
	go p.writer.Run(ctx)
	return p
}

func (p *process) append(name string, wait time.Duration) (hvlog.Receipt, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return p.writer.Append(ctx, op(name))
}

func (p *process) snapshot(t interface{ Fatal(...any) }) {
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

// bubble runs a test in virtual time.
func bubble(t *testing.T, f func(t *testing.T, log *hvlogtest.Log)) {
	synctest.Test(t, func(t *testing.T) { f(t, hvlogtest.New(hv.SystemClock{}, 1)) })
}

// Guards against a process that starts on an empty stream and takes nothing
// before its first wait at the head has ended.
func TestEmptyStreamIsLiveAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		time.Sleep(500 * time.Millisecond)
		if !a.follower.Status().Loaded {
			t.Error("not live after half of the wait at the head")
		}
	})
}

// Guards against a new reader that accepts records whose validity depends on
// expired ones.
func TestNothingBeforeSnapshot(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		for i := range 6 {
			must(t, a, fmt.Sprint(i))
		}
		log.Expire(stream, 4)
		b := start(log, "b", nil)
		defer b.stop()
		time.Sleep(5 * time.Second)
		if st := b.follower.Status(); st.Loaded || !st.Head.IsZero() || b.state.String() != "{}" {
			t.Fatalf("a reader without a snapshot is live: %+v %s", st, b.state)
		}
		a.snapshot(t)
		must(t, a, "after")
		synctest.Wait()
		if st := b.follower.Status(); !st.Loaded || b.state.String() != a.state.String() {
			t.Fatalf("state %s differs from %s after a snapshot", b.state, a.state)
		}
	})
}

// Guards against a snapshot that is taken although the records that follow its
// state have expired.
func TestSnapshotWithGapIsSkipped(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		must(t, a, "1")
		_, old, err := a.follower.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		must(t, a, "2")
		if _, err := a.writer.Append(t.Context(), hvlog.Op{Kind: hvlog.KindSnapshot, Body: old, NoMerge: true}); err != nil {
			t.Fatal(err)
		}
		log.Expire(stream, 3)
		b := start(log, "b", nil)
		defer b.stop()
		time.Sleep(2 * time.Second)
		if b.follower.Status().Loaded {
			t.Fatal("restored from a snapshot without the record at offset 2")
		}
	})
}

// Guards against a reader that drops other duplicates than its peers because it
// started from a snapshot.
func TestSnapshotCarriesSeenWriters(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		must(t, a, "1")
		late := log.Records(stream)[0]
		other := start(log, "other", nil)
		defer other.stop()
		synctest.Wait()
		other.snapshot(t)
		log.Expire(stream, 2)
		if _, err := log.Append(t.Context(), stream, late); err != nil {
			t.Fatal(err)
		}
		b := start(log, "b", nil)
		defer b.stop()
		synctest.Wait()
		if b.state.String() != `{"1":1}` || b.follower.Status().Duplicates != 1 {
			t.Fatalf("state %s, status %+v", b.state, b.follower.Status())
		}
	})
}

// blocked is a log whose reads can be cut off for one process.
type blocked struct {
	hv.Log
	off atomic.Bool
}

func (b *blocked) Read(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	if b.off.Load() {
		return hv.Page{}, errors.New("cut off")
	}
	return b.Log.Read(ctx, name, from, limit, wait)
}

// Guards against a reader that was cut off until records expired and then goes
// on as if it had read them.
func TestReaderBehindExpiry(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		cut := &blocked{Log: log}
		b := start(cut, "b", nil)
		defer b.stop()
		must(t, a, "1")
		// The other reader has its own pace and must have read the record too.
		time.Sleep(2 * time.Second)
		cut.off.Store(true)
		time.Sleep(2 * time.Second)
		must(t, a, "2")
		must(t, a, "3")
		log.Expire(stream, 4)
		must(t, a, "4")
		cut.off.Store(false)
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

// Guards against a reader that learns of the end of an outage only when its read
// at the head of a quiet stream ends. Publications are refused until then.
func TestReturnIsNoticed(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		f := hvlog.NewFollower(hvlog.FollowerConfig{
			Stream: stream, Log: log, Clock: hv.SystemClock{}, Applier: &tally{counts: map[string]int{}},
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
			// One second is the longest pause between two tries.
			time.Sleep(time.Second + time.Millisecond)
			if st := f.Status(); !st.Reachable || !st.Loaded {
				t.Errorf("%+v after the outage, want live and reachable", st)
			}
		}
	})
}

// Guards against a new process that stays without state while the log is down,
// and against confirming the head from a peer's state.
func TestPeerStateDuringOutage(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		a := start(log, "a", nil)
		defer a.stop()
		must(t, a, "1")
		log.SetFaults(hvlogtest.Faults{Down: true})
		fetch := func(_ context.Context, after hv.Offset) ([]byte, error) {
			next, body, err := a.follower.Snapshot()
			if err != nil || next <= after {
				return nil, err
			}
			return body, nil
		}
		b := start(log, "b", fetch)
		defer b.stop()
		time.Sleep(5 * time.Second)
		st := b.follower.Status()
		if !st.Loaded || st.Reachable || !st.Head.IsZero() || b.state.String() != a.state.String() {
			t.Fatalf("state %s, status %+v", b.state, st)
		}
		log.SetFaults(hvlogtest.Faults{})
		time.Sleep(3 * time.Second)
		if st := b.follower.Status(); !st.Reachable || time.Since(st.Head) > 2*time.Second {
			t.Fatalf("log not read after its return: %+v", st)
		}
	})
}

// Guards against readers that compute different states from one stream,
// whatever the faults, expiries and restarts.
func TestReadersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtual{t}, func(t *rapid.T) {
			log := hvlogtest.New(hv.SystemClock{}, rapid.Uint64().Draw(t, "seed"))
			m := &machine{log: log, ended: map[string]bool{}, procs: []*process{start(log, "p0", nil)}}
			defer func() {
				for _, p := range m.procs {
					p.stop()
				}
				synctest.Wait()
			}()
			t.Repeat(map[string]func(*rapid.T){
				"append": m.append, "faults": m.faults, "join": m.join, "leave": m.leave, "expire": m.expire, "": m.check,
			})
		})
	})
}

// virtual hides the deadline of a test, which rapid would ask for and which
// does not exist in virtual time.
type virtual struct{ testing.TB }

// machine drives processes and keeps every record as the oracle.
type machine struct {
	log     *hvlogtest.Log
	procs   []*process
	all     []hv.Record
	ended   map[string]bool
	started int
	ops     int
	asof    hv.Offset
}

func (m *machine) pick(t *rapid.T) *process {
	return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")]
}

func (m *machine) append(t *rapid.T) {
	m.ops++
	name := fmt.Sprint(m.ops)
	_, err := m.pick(t).append(name, rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "wait"))
	switch hv.KindOf(err) {
	case hv.Uncertain:
	default:
		m.ended[name] = err == nil
	}
}

func (m *machine) faults(t *rapid.T) {
	m.log.SetFaults(hvlogtest.Faults{
		Down: rapid.Bool().Draw(t, "down"), LoseBeforeWrite: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "before"),
		LoseAfterWrite: rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "after"),
		Delay:          rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "slow"),
	})
}

func (m *machine) join(*rapid.T) {
	if len(m.procs) < 4 {
		m.started++
		m.procs = append(m.procs, start(m.log, fmt.Sprintf("p%d", m.started), nil))
	}
}

func (m *machine) leave(t *rapid.T) {
	if i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "leaver"); i > 0 {
		m.procs[i].stop()
		m.procs = append(m.procs[:i], m.procs[i+1:]...)
	}
}

// expire writes a snapshot without faults and then lets records before it expire.
func (m *machine) expire(t *rapid.T) {
	m.settle()
	m.asof = m.procs[0].follower.Status().Next
	m.procs[0].snapshot(t)
	m.collect()
	m.log.Expire(stream, m.asof)
}

func (m *machine) settle() {
	m.log.SetFaults(hvlogtest.Faults{})
	time.Sleep(20 * time.Second)
	m.collect()
}

func (m *machine) collect() {
	for _, rec := range m.log.Records(stream) {
		if int(rec.Offset) == len(m.all)+1 {
			m.all = append(m.all, rec)
		}
	}
}

// check compares every reader with the oracle, which reads all records from
// the first and keeps the first one of each identifier.
func (m *machine) check(t *rapid.T) {
	m.settle()
	want := &tally{counts: map[string]int{}}
	top := map[string]int64{}
	for _, rec := range m.all {
		writer, sequence, _ := hvlog.ParseID(rec.ID)
		if sequence > top[writer] {
			top[writer] = sequence
			want.Apply(rec)
		}
	}
	for i, p := range m.procs {
		if st := p.follower.Status(); !st.Loaded || int(st.Next) != len(m.all)+1 || p.state.String() != want.String() {
			t.Fatalf("process %d has %s at %+v, want %s at %d", i, p.state, st, want, len(m.all)+1)
		}
	}
	for name, yes := range m.ended {
		if n := want.counts[name]; n > 1 || (n == 1) != yes {
			t.Fatalf("operation %s took effect %d times; its caller was told %v", name, n, yes)
		}
	}
}

func must(t *testing.T, p *process, name string) hvlog.Receipt {
	t.Helper()
	r, err := p.append(name, time.Minute)
	if err != nil {
		t.Fatal(errors.Wrap(err, name))
	}
	return r
}
