package hventry_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hventry"
	"hibiscusvane.example/hibiscusvane/hvmetric"
)

// memoryStore is a store without a network: it carries out one append after another.
type memoryStore struct {
	turn chan struct{}

	mu      sync.Mutex
	took    time.Duration
	away    bool
	records map[string][]hv.KeyedRecord
	// sent holds the keys of all records that an append carried, stored or not.
	sent map[string]bool
}

func newMemoryStore() *memoryStore {
	s := &memoryStore{turn: make(chan struct{}, 1), took: 4 * time.Millisecond, records: map[string][]hv.KeyedRecord{}, sent: map[string]bool{}}
	s.records["op"] = []hv.KeyedRecord{{Key: "catalog", Value: []byte("{}")}}
	return s
}

func (s *memoryStore) set(took time.Duration, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took, s.away = took, away
}

// respond waits for d and reports whether the store responds within 0.8 s.
func (s *memoryStore) respond(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hv.ResponseTimeout(ctx, 800*time.Millisecond)+d)
	defer cancel()
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		<-ctx.Done()
		return &hv.Error{Op: "store", Kind: hv.Uncertain, Err: ctx.Err()}
	}
	time.Sleep(d)
	return nil
}

func (s *memoryStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, _ hv.Fence) (int64, error) {
	s.mu.Lock()
	for _, r := range recs {
		s.sent[r.Key] = true
	}
	took := s.took
	s.mu.Unlock()
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	if err := s.respond(ctx, took); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range recs {
		r.Offset = int64(len(s.records[topic]))
		s.records[topic] = append(s.records[topic], r)
	}
	return int64(len(s.records[topic])), nil
}

func (s *memoryStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if err := s.respond(ctx, 0); err != nil {
			return hv.KeyedPage{}, err
		}
		s.mu.Lock()
		page := hv.KeyedPage{Next: int64(len(s.records[topic])), End: int64(len(s.records[topic]))}
		page.Records = slices.Clone(s.records[topic][min(from, page.End):])
		s.mu.Unlock()
		if len(page.Records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return page, ctx.Err()
		}
	}
}

func (s *memoryStore) Newest(ctx context.Context, topic string) (hv.KeyedPage, error) {
	return s.Read(ctx, topic, 0, 0)
}

func (s *memoryStore) wasSent(id int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent["job/"+newJob(id).ID]
}

// callers submit jobs to a gate, and return after their Retry-After up to four times.
type callers struct {
	t        *testing.T
	store    *memoryStore
	gate     *hventry.Gate
	deadline time.Duration
	wait     sync.WaitGroup

	mu sync.Mutex
	// refused and served hold the time of the last refusal and of the success by job;
	// order lists the jobs that were refused in the order in which they were stored.
	refused, served     map[int]time.Time
	order               []int
	refusals, uncertain int
	// slowest is the longest time until a refusal of a request that arrived after
	// quickFrom.
	slowest   time.Duration
	quickFrom time.Time
}

// submit submits a job and checks every response.
func (c *callers) submit(id int) {
	for range 5 {
		arrived := time.Now()
		ctx, cancel := context.WithTimeout(c.t.Context(), c.deadline)
		retry, err := c.gate.Submit(ctx, newJob(id))
		cancel()
		took := time.Since(arrived)
		if took > c.deadline {
			c.t.Errorf("job %d: response after %v, deadline %v", id, took, c.deadline)
		}
		c.record(id, err, took)
		if err == nil {
			return
		}
		if retry < time.Second || retry%time.Second != 0 {
			c.t.Errorf("job %d: retry after %v, want whole seconds", id, retry)
		}
		time.Sleep(retry)
	}
	c.t.Errorf("job %d was not stored in five attempts", id)
}

func (c *callers) record(id int, err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, returned := c.refused[id]
	switch {
	case err == nil:
		c.served[id] = time.Now()
		if returned {
			c.order = append(c.order, id)
		}
	case hv.KindOf(err) == hv.Uncertain:
		c.uncertain++
		if !c.store.wasSent(id) {
			c.t.Errorf("job %d: %v although it was not sent", id, err)
		}
	default:
		c.refusals++
		if time.Now().Add(-took).After(c.quickFrom) {
			c.slowest = max(c.slowest, took)
		}
		if c.store.wasSent(id) {
			c.t.Errorf("job %d: refused although it was sent: %v", id, err)
		}
		c.refused[id] = time.Now()
	}
}

// arrive submits jobs at a rate per second for a time.
func (c *callers) arrive(first, rate int, d time.Duration) (next int) {
	for end := time.Now().Add(d); time.Now().Before(end); first++ {
		id := first
		c.wait.Go(func() { c.submit(id) })
		time.Sleep(time.Second / time.Duration(rate))
	}
	return first
}

// runGate runs test in a bubble of virtual time with a gate that owns the cell.
func runGate(t *testing.T, deadline time.Duration, test func(c *callers)) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		g := hventry.New(hventry.Options{
			Zone: "north", Name: "gate", Addr: "127.0.0.1:1", Process: "p", Store: s, CellTopic: "cell",
			Operators: hventry.OperatorRecords{Topic: "op", CatalogKey: "catalog", EvacuationPrefix: "evacuate/", DecodeCatalog: decodeCatalog},
			Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { g.Run(ctx, ctx) })
		for !g.Ready() || !g.IsOwner() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		test(&callers{t: t, store: s, gate: g, deadline: deadline, refused: map[int]time.Time{}, served: map[int]time.Time{}})
		cancel()
		loop.Wait()
	})
}

// checkOrder fails if a caller that was refused first is served after one that was
// refused later, and if one is served later than 2 s after the outage.
func (c *callers) checkOrder(back time.Time) {
	c.t.Helper()
	if len(c.order) != len(c.refused) {
		c.t.Errorf("%d of %d refused callers were served", len(c.order), len(c.refused))
	}
	for i := 1; i < len(c.order); i++ {
		a, b := c.order[i-1], c.order[i]
		if c.refused[b].Before(c.refused[a]) && c.served[a].Before(c.served[b]) {
			c.t.Errorf("job %d was refused before job %d and served %v after it", b, a, c.served[b].Sub(c.served[a]))
		}
	}
	for id := range c.refused {
		if late := c.served[id].Sub(back); late > 2*time.Second {
			c.t.Errorf("job %d was refused and served %v after the store was back, want at most 2 s", id, late)
		}
	}
}

// Guards against requests that are held to their end by a slow store and then fail
// although nothing was sent, which callers could not tell from a lost response.
func TestSlowStore(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		rate     int
		// unknown is how long a request with so short a deadline may be held, because
		// the gate knows that the store is slow only after two slow appends.
		unknown time.Duration
	}{
		{"shared appends", 3 * time.Second, 30, 0},
		{"short deadline", time.Second, 30, 0},
		{"deadline of two appends", 800 * time.Millisecond, 30, 700 * time.Millisecond},
		{"more than the store can take", 3 * time.Second, 900, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runGate(t, c.deadline, func(cs *callers) {
				next := cs.arrive(1, 30, time.Second)
				cs.store.set(300*time.Millisecond, false)
				cs.quickFrom = time.Now().Add(c.unknown)
				next = cs.arrive(next, c.rate, 5*time.Second)
				cs.store.set(4*time.Millisecond, false)
				back := time.Now()
				cs.arrive(next, 30, 3*time.Second)
				cs.wait.Wait()
				t.Logf("%d refusals, %d without a response, slowest refusal %v", cs.refusals, cs.uncertain, cs.slowest)
				if cs.slowest > 50*time.Millisecond {
					t.Errorf("a request was refused only after %v, want at most 50 ms", cs.slowest)
				}
				cs.checkOrder(back)
			})
		})
	}
}

// Guards against requests that wait for a store that responds to nobody, and against
// callers that use up their retries before it is back.
func TestStoreAway(t *testing.T) {
	runGate(t, 3*time.Second, func(c *callers) {
		next := c.arrive(1, 30, time.Second)
		c.store.set(4*time.Millisecond, true)
		// Until the store has been silent for 0.7 s it is not known to be away.
		c.quickFrom = time.Now().Add(720 * time.Millisecond)
		next = c.arrive(next, 30, 5*time.Second)
		c.store.set(4*time.Millisecond, false)
		// The gate looks for the store every 0.25 s, and cannot know sooner that it is back.
		end := time.Now().Add(250 * time.Millisecond)
		c.arrive(next, 30, 3*time.Second)
		c.wait.Wait()
		t.Logf("%d refusals, %d without a response, slowest refusal %v", c.refusals, c.uncertain, c.slowest)
		if c.slowest > 50*time.Millisecond {
			t.Errorf("a request was refused only after %v, want at most 50 ms", c.slowest)
		}
		c.checkOrder(end)
	})
}

// Guards against refusals while the store is healthy: admission control must then
// change nothing.
func TestHealthyStoreRefusesNothing(t *testing.T) {
	runGate(t, 3*time.Second, func(c *callers) {
		c.arrive(1, 100, 10*time.Second)
		c.wait.Wait()
		if c.refusals > 0 || c.uncertain > 0 || len(c.served) != 1000 {
			t.Errorf("%d of 1000 jobs served, %d refusals, %d without a response", len(c.served), c.refusals, c.uncertain)
		}
	})
}
