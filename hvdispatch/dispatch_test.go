package hvdispatch_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvdispatch"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvretry"
	"hibiscusvane.example/hibiscusvane/hvroute"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// The seed and the number of checks are fixed so that every run is the same.
func init() {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

type fatal interface {
	Errorf(format string, args ...any)
}

// ownerOf is a table of key slots in which one host owns all slots.
type ownerOf string

func (o ownerOf) Owner(string, string) (string, bool) { return string(o), o != "" }

// newDispatcher returns a dispatcher with retries earned by earlier requests.
func newDispatcher(t fatal, w *world, keys hvdispatch.KeyOwners, earlier int) *hvdispatch.Dispatcher {
	budget := hvretry.New()
	for range earlier {
		budget.Deposit("labels")
	}
	violations := func(n int, m string) { t.Errorf("invariant %d: %s", n, m) }
	admit := hvadmit.New(hv.SystemClock{}, hvadmit.DefaultSettings(), violations)
	d := hvdispatch.New(hvdispatch.Deps{
		Members: w.table, Admitter: admit, Budget: budget, KeyOwners: keys, Clock: hv.SystemClock{},
		Picker:  hvroute.New("z", hv.SystemClock{}, rand.New(rand.NewPCG(5, 5))),
		Metrics: hvmetric.New(hvmetric.DefaultCallers), Logger: log.NewNopLogger(), Violations: violations,
	})
	d.NewLimitUpdater(w.table, func() int { return 1 }, admit).Refresh()
	return d
}

func request(id string) hv.Request {
	return hv.Request{ID: id, Caller: "weights", Class: hv.Urgent, Service: "labels", Method: "POST", Left: hv.Duration(time.Second)}
}

// Guards the truth of outcomes under late, reordered, cut, foreign and lost
// answers and lost connections: not-run never ran, done is whole and the
// caller's own, and nothing runs twice.
func TestOutcomesAreTrue(t *testing.T) {
	t.Log("seed 5")
	rapid.Check(t, func(rt *rapid.T) {
		plan := map[string][]fault{}
		ids := make([]string, rapid.IntRange(1, 12).Draw(rt, "requests"))
		keyed := make([]bool, len(ids))
		pause := make([]time.Duration, len(ids))
		for i := range ids {
			ids[i] = fmt.Sprint("r", i)
			keyed[i] = rapid.IntRange(0, 3).Draw(rt, "keyed") == 0
			pause[i] = time.Duration(rapid.IntRange(0, 50).Draw(rt, "pause")) * time.Millisecond
			for range 2 {
				plan[ids[i]] = append(plan[ids[i]], fault(rapid.IntRange(0, int(faults)-1).Draw(rt, "fault")))
			}
		}
		var found report
		synctest.Test(t, func(*testing.T) {
			w := newWorld(3)
			w.plan = plan
			for i, ans := range w.serve(&found, ids, keyed, pause) {
				w.checkOutcome(&found, ids[i], ans)
			}
		})
		for _, line := range found.lines {
			rt.Error(line)
		}
	})
}

// report collects failures inside a bubble of virtual time, where the state
// machine library can't be called.
type report struct {
	mu    sync.Mutex
	lines []string
}

func (r *report) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// serve runs the requests at their times and waits until late messages have
// arrived.
func (w *world) serve(t fatal, ids []string, keyed []bool, pause []time.Duration) []hv.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDispatcher(t, w, ownerOf("h1"), 100)
	go w.beat(ctx)
	answers := make([]hv.Answer, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		time.Sleep(pause[i])
		wg.Go(func() {
			req, start := request(id), time.Now()
			if keyed[i] {
				req.Key = "key-" + id
			}
			answers[i] = d.Do(ctx, req)
			if took := time.Since(start); took > time.Second+hvdispatch.SettleTimeout+10*time.Millisecond {
				t.Errorf("%s: outcome after %v, which is past the deadline and the time to settle", id, took)
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * longTime)
	cancel()
	time.Sleep(2 * time.Second)
	return answers
}

func (w *world) checkOutcome(t fatal, id string, ans hv.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.runs[id]
	switch {
	case ans.ID != id:
		t.Errorf("%s: got the answer of %q", id, ans.ID)
	case runs > 1:
		t.Errorf("%s: ran %d times, faults %v", id, runs, w.plan[id])
	case ans.Outcome == hv.NotRun && runs > 0:
		t.Errorf("%s: ended as not-run and ran, faults %v: %s", id, w.plan[id], ans.Reason)
	case ans.Outcome == hv.Done && (runs != 1 || string(ans.Body) != "answer to "+id):
		t.Errorf("%s: done with %q after %d runs, faults %v", id, ans.Body, runs, w.plan[id])
	case ans.Outcome == "":
		t.Errorf("%s: no outcome", id)
	}
}

// Guards the outcome of each single fault, so that a dispatcher that answers
// unknown to everything does not pass.
func TestOutcomeOfEachFault(t *testing.T) {
	want := map[fault]hv.Outcome{
		none: hv.Done, refuse: hv.Done, late: hv.Unknown, slow: hv.NotRun, cut: hv.Done, foreign: hv.Done,
		foreignRefusal: hv.Done, corrupt: hv.Done, lostBefore: hv.Done, lostInFlight: hv.Done, lostAnswer: hv.Done,
		restart: hv.Unknown, errorAfterRun: hv.Done, lostAndNoSettle: hv.Unknown,
		notSent: hv.Done,
	}
	for f := range faults {
		t.Run(fmt.Sprint("fault", int(f)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2)
				w.plan["r"] = []fault{f}
				ans := w.serve(t, []string{"r"}, []bool{false}, []time.Duration{0})[0]
				w.checkOutcome(t, "r", ans)
				if ans.Outcome != want[f] {
					t.Errorf("outcome %s (%s), want %s", ans.Outcome, ans.Reason, want[f])
				}
			})
		})
	}
}

// Guards against keyed requests that reach a side which does not know the key.
func TestKeyedRequestsGoToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		req := request("r")
		req.Key = "0192"
		for _, test := range []struct {
			keys hvdispatch.KeyOwners
			want hv.Outcome
		}{{ownerOf("h2"), hv.Done}, {ownerOf("h9"), hv.NotRun}, {ownerOf(""), hv.NotRun}, {nil, hv.NotRun}} {
			if ans := newDispatcher(t, w, test.keys, 0).Do(t.Context(), req); ans.Outcome != test.want {
				t.Errorf("owner %v: %s (%s), want %s", test.keys, ans.Outcome, ans.Reason, test.want)
			}
		}
		if !w.sides["h2"].started["r"] {
			t.Error("the request did not run on its owner")
		}
		w.table.Leave(hvwire.Leave{Host: "h2", Incarnation: w.sides["h2"].announce.Incarnation})
		req.ID = "s"
		if ans := newDispatcher(t, w, ownerOf("h2"), 0).Do(t.Context(), req); ans.Outcome != hv.NotRun {
			t.Errorf("leaving owner: %s, want not-run", ans.Outcome)
		}
	})
}

// Guards against retries that add load when every side refuses.
func TestAmplificationWhenEverySideRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		d := newDispatcher(t, w, nil, 0)
		const requests = 1000
		for i := range requests {
			id := fmt.Sprint("r", i)
			w.plan[id] = []fault{refuse, refuse, refuse}
			if ans := d.Do(t.Context(), request(id)); ans.Outcome != hv.NotRun || ans.Retry <= 0 {
				t.Fatalf("%+v, want not-run with a retry time", ans)
			}
		}
		if w.dispatches > requests*11/10 || w.dispatches < requests*105/100 {
			t.Errorf("%d dispatches for %d requests, want at most 1100 and more than 1050", w.dispatches, requests)
		}
	})
}
