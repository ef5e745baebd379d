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

type errorReporter interface {
	Errorf(format string, args ...any)
}

// singleOwner is a table of key slots in which one host owns all slots. With an
// empty host the slots have no owner.
type singleOwner string

func (o singleOwner) Owner(string, string) (string, bool) { return string(o), o != "" }

// newDispatcher returns a dispatcher whose retry budget has the deposits of
// earlierRequests requests.
func newDispatcher(t errorReporter, fc *fakeCluster, keys hvdispatch.KeyOwners, earlierRequests int) *hvdispatch.Dispatcher {
	budget := hvretry.New()
	for range earlierRequests {
		budget.Deposit("labels")
	}
	violations := func(n int, m string) { t.Errorf("invariant %d: %s", n, m) }
	admitter := hvadmit.New(hv.SystemClock{}, hvadmit.DefaultSettings(), violations)
	d := hvdispatch.New(hvdispatch.Deps{
		Members: fc.table, Admitter: admitter, Budget: budget, KeyOwners: keys, Clock: hv.SystemClock{},
		Picker:  hvroute.New("z", hv.SystemClock{}, rand.New(rand.NewPCG(5, 5))),
		Metrics: hvmetric.New(hvmetric.DefaultCallerLimit), Logger: log.NewNopLogger(), Violations: violations,
	})
	d.NewLimitUpdater(fc.table, func() int { return 1 }, admitter).Refresh()
	return d
}

func request(id string) hv.Request {
	return hv.Request{ID: id, Caller: "weights", Class: hv.Urgent, Service: "labels", Method: "POST", Remaining: hv.Duration(time.Second)}
}

// Guards against false outcomes under late, reordered, truncated, misdirected
// and lost responses and under lost connections: a request that ended as
// not-run must not run, a response with the outcome done must be complete and
// belong to the request, and no request may run twice.
func TestOutcomesAreTrue(t *testing.T) {
	t.Log("seed 5")
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[string][]fault{}
		ids := make([]string, rapid.IntRange(1, 12).Draw(rt, "requests"))
		keyed := make([]bool, len(ids))
		pauses := make([]time.Duration, len(ids))
		for i := range ids {
			ids[i] = fmt.Sprint("r", i)
			keyed[i] = rapid.IntRange(0, 3).Draw(rt, "keyed") == 0
			pauses[i] = time.Duration(rapid.IntRange(0, 50).Draw(rt, "pause")) * time.Millisecond
			for range 2 {
				faults[ids[i]] = append(faults[ids[i]], fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault")))
			}
		}
		var failed failures
		synctest.Test(t, func(*testing.T) {
			fc := newFakeCluster(3)
			fc.faults = faults
			for i, resp := range fc.runRequests(&failed, ids, keyed, pauses) {
				fc.checkOutcome(&failed, ids[i], resp)
			}
		})
		for _, message := range failed.messages {
			rt.Error(message)
		}
	})
}

// failures collects test failures inside a synctest bubble, where rapid can't be
// called.
type failures struct {
	mu       sync.Mutex
	messages []string
}

func (r *failures) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, fmt.Sprintf(format, args...))
}

// runRequests runs the requests, each after its pause, and waits until late
// messages have arrived.
func (fc *fakeCluster) runRequests(t errorReporter, ids []string, keyed []bool, pauses []time.Duration) []hv.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDispatcher(t, fc, singleOwner("h1"), 100)
	go fc.sendHeartbeats(ctx)
	responses := make([]hv.Response, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		time.Sleep(pauses[i])
		wg.Go(func() {
			req, start := request(id), time.Now()
			if keyed[i] {
				req.IdempotencyKey = "key-" + id
			}
			responses[i] = d.Do(ctx, req)
			if took := time.Since(start); took > time.Second+hvdispatch.SettleTimeout+10*time.Millisecond {
				t.Errorf("%s: outcome after %v, which exceeds the deadline and the time to settle", id, took)
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * longDelay)
	cancel()
	time.Sleep(2 * time.Second)
	return responses
}

func (fc *fakeCluster) checkOutcome(t errorReporter, id string, resp hv.Response) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	runs := fc.runs[id]
	switch {
	case resp.ID != id:
		t.Errorf("%s: got the response of %q", id, resp.ID)
	case runs > 1:
		t.Errorf("%s: ran %d times, faults %v", id, runs, fc.faults[id])
	case resp.Outcome == hv.NotRun && runs > 0:
		t.Errorf("%s: ended as not-run and ran, faults %v: %s", id, fc.faults[id], resp.Reason)
	case resp.Outcome == hv.Done && (runs != 1 || string(resp.Body) != "response to "+id):
		t.Errorf("%s: done with %q after %d runs, faults %v", id, resp.Body, runs, fc.faults[id])
	case resp.Outcome == "":
		t.Errorf("%s: no outcome", id)
	}
}

// Guards against a wrong outcome of a single fault. A dispatcher that always
// returns unknown would pass TestOutcomesAreTrue but fails here.
func TestOutcomeOfEachFault(t *testing.T) {
	want := map[fault]hv.Outcome{
		noFault: hv.Done, refused: hv.Done, lateResponse: hv.Unknown, lateRequest: hv.NotRun, truncated: hv.Done, otherResponse: hv.Done,
		otherRefusal: hv.Done, corrupted: hv.Done, lostRequest: hv.Done, delayedRequest: hv.Done, lostResponse: hv.Done,
		restarted: hv.Unknown, errorAfterRun: hv.Done, delayedRequestNoSettle: hv.Unknown,
		notSent: hv.Done,
	}
	for f := range faultCount {
		t.Run(fmt.Sprint("fault", int(f)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fc := newFakeCluster(2)
				fc.faults["r"] = []fault{f}
				resp := fc.runRequests(t, []string{"r"}, []bool{false}, []time.Duration{0})[0]
				fc.checkOutcome(t, "r", resp)
				if resp.Outcome != want[f] {
					t.Errorf("outcome %s (%s), want %s", resp.Outcome, resp.Reason, want[f])
				}
			})
		})
	}
}

// Guards against requests with an idempotency key that are sent to a side that
// does not own the key.
func TestKeyedRequestsGoToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(3)
		req := request("r")
		req.IdempotencyKey = "0192"
		for _, test := range []struct {
			keys hvdispatch.KeyOwners
			want hv.Outcome
		}{{singleOwner("h2"), hv.Done}, {singleOwner("h9"), hv.NotRun}, {singleOwner(""), hv.NotRun}, {nil, hv.NotRun}} {
			if resp := newDispatcher(t, fc, test.keys, 0).Do(t.Context(), req); resp.Outcome != test.want {
				t.Errorf("owner %v: outcome %s (%s), want %s", test.keys, resp.Outcome, resp.Reason, test.want)
			}
		}
		if !fc.sides["h2"].started["r"] {
			t.Error("the request did not run on the owner of its key")
		}
		fc.table.Leave(hvwire.Leave{Host: "h2", Incarnation: fc.sides["h2"].announce.Incarnation})
		req.ID = "s"
		if resp := newDispatcher(t, fc, singleOwner("h2"), 0).Do(t.Context(), req); resp.Outcome != hv.NotRun {
			t.Errorf("owner that is leaving: outcome %s, want not-run", resp.Outcome)
		}
	})
}

// Guards against retries that multiply the load when every side refuses
// requests.
func TestAmplificationWhenEverySideRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fc := newFakeCluster(4)
		d := newDispatcher(t, fc, nil, 0)
		const requests = 1000
		for i := range requests {
			id := fmt.Sprint("r", i)
			fc.faults[id] = []fault{refused, refused, refused}
			if resp := d.Do(t.Context(), request(id)); resp.Outcome != hv.NotRun || resp.RetryAfter <= 0 {
				t.Fatalf("response %+v, want not-run with a retry time", resp)
			}
		}
		if fc.dispatches > requests*11/10 || fc.dispatches < requests*105/100 {
			t.Errorf("%d dispatches for %d requests, want at most 1100 and more than 1050", fc.dispatches, requests)
		}
	})
}
