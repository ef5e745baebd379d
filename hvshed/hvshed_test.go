package hvshed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvshed"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an estimate that stays slow after the store has recovered, or that one
// slow append makes slow.
func TestEstimateFollowsTheStore(t *testing.T) {
	var c hvshed.Calls
	now := 0
	call := func(ms int) {
		c.Begin(at(now))
		c.End(at(now), at(now+ms), true)
		now += ms + 25
	}
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := c.Response(at(now)); got != want {
			t.Errorf("%s: response time %v, want %v", what, got, want)
		}
	}
	expect("no sample", hvshed.DefaultResponse)
	for range 20 {
		call(4)
	}
	call(350)
	expect("one slow append", 4*time.Millisecond)
	call(300)
	call(300)
	expect("a slow store", 300*time.Millisecond)
	for range 9 {
		call(4)
	}
	expect("a store that is fast again", 4*time.Millisecond)
	now += 5000
	expect("old samples", hvshed.DefaultResponse)
}

// Guards against callers that are sent away for the longest time although the store has
// only just become slow, as the time counts from an earlier slow period after which no
// call was made.
func TestSlowTimeCountsFromLastSlowPeriod(t *testing.T) {
	var c hvshed.Calls
	slow := func(from, to int) {
		c.Begin(at(from))
		c.End(at(from), at(to), true)
	}
	slow(0, 400)
	slow(2300, 2700)
	if got, want := c.SlowFor(at(2700)), 2700*time.Millisecond; got != want {
		t.Errorf("slow for %v after two slow calls, want %v", got, want)
	}
	slow(60000, 60400)
	if got, want := c.SlowFor(at(60400)), 400*time.Millisecond; got != want {
		t.Errorf("slow for %v after one slow call in a minute, want %v", got, want)
	}
}

// Guards against a slow store that counts as away, and one away that does not.
func TestDownNeedsSilence(t *testing.T) {
	var c hvshed.Calls
	if c.Down(at(5000)) {
		t.Error("down before the first response")
	}
	c.Responded(at(0))
	if c.Down(at(700)) || !c.Down(at(701)) {
		t.Error("want a fast store to be down after 700 ms without a response")
	}
	c.Begin(at(0))
	c.End(at(0), at(300), true)
	if c.Down(at(1300)) || !c.Down(at(1301)) {
		t.Error("want a slow store to get its response time in addition")
	}
}

// Guards against requests that are admitted although they would be late, and against
// refusals of those that can be on time.
func TestDecisions(t *testing.T) {
	slow := hvshed.Load{ResponseMS: 300, AgeMS: 100}
	full := hvshed.Load{ResponseMS: 300, AgeMS: 100, Records: 1700}
	for _, c := range []struct {
		state  hvshed.State
		left   time.Duration
		first  bool
		want   hvshed.Outcome
		reason string
	}{
		{hvshed.State{Load: hvshed.Load{ResponseMS: 4}}, 3 * time.Second, false, hvshed.Admitted, ""},
		{hvshed.State{Load: slow}, 3 * time.Second, false, hvshed.Held, ""},
		{hvshed.State{Load: slow}, 800 * time.Millisecond, false, hvshed.Refused, hvshed.MissesLimit},
		{hvshed.State{Load: full}, 3 * time.Second, false, hvshed.Refused, hvshed.MissesLimit},
		{hvshed.State{Load: full}, 3 * time.Second, true, hvshed.Held, ""},
		{hvshed.State{Load: hvshed.Load{ResponseMS: 4, AgeMS: 2000}}, 3 * time.Second, false, hvshed.Refused, hvshed.MissesLimit},
		{hvshed.State{Load: hvshed.Load{ResponseMS: 4, Records: hvshed.MaxQueued}}, 3 * time.Second, false, hvshed.Refused, hvshed.QueueFull},
		{hvshed.State{Load: hvshed.Load{ResponseMS: 4, Bytes: 9 * hvshed.MaxBytes}}, 500 * time.Millisecond, false, hvshed.Refused, hvshed.MissesLimit},
		{hvshed.State{Down: true, Outage: time.Second}, 3 * time.Second, true, hvshed.Refused, hvshed.StoreDown},
	} {
		if d := hvshed.Decide(c.state, c.left, c.first); d.Outcome != c.want || d.Reason != c.reason {
			t.Errorf("%+v, %v left, first %v: %+v, want %s %s", c.state, c.left, c.first, d, c.want, c.reason)
		}
	}
}

// Guards against callers that use up their four retries before an outage of 5 s ends.
func TestRetriesSpanAnOutage(t *testing.T) {
	for ms := 701; ms < 5000; ms += 50 {
		age := time.Duration(ms) * time.Millisecond
		for range 4 {
			age += hvshed.State{Down: true, Outage: age}.RetryWait(3 * time.Second)
		}
		if age < 5250*time.Millisecond {
			t.Errorf("refused first after %d ms: the last retry comes after %v", ms, age)
		}
	}
}

// Guards against callers that return all at once or before others that were refused
// earlier.
func TestSlotsSpreadAndKeepTheOrder(t *testing.T) {
	var s hvshed.Slots
	interval := hvshed.SlotInterval(hvshed.DefaultResponse, 14)
	last := time.Time{}
	perSecond := map[int64]int{}
	for i := range 2000 {
		now := at(i)
		wait := hvshed.State{Down: true, Outage: time.Duration(700+i) * time.Millisecond}.RetryWait(3 * time.Second)
		retry := s.Next(now, wait, interval)
		if retry < time.Second || retry%time.Second != 0 {
			t.Fatalf("retry after %v, want whole seconds", retry)
		}
		if now.Add(retry).Before(last) {
			t.Fatalf("caller %d returns %v before one that was refused earlier", i, last.Sub(now.Add(retry)))
		}
		last = now.Add(retry)
		perSecond[last.Unix()]++
	}
	for second, n := range perSecond {
		if limit := int(1500 * time.Millisecond / interval); n > limit && second > start.Unix()+2 {
			t.Errorf("%d callers return in one second, want at most %d", n, limit)
		}
	}
}

// Guards against new callers that are stored before those that return, and against
// submissions before cancellations.
func TestQueueOrder(t *testing.T) {
	var q hvshed.Queue[string]
	r := hvshed.NewReturns()
	r.Refuse("b", at(10), at(1010))
	r.Refuse("a", at(0), at(1000))
	r.Refuse("a", at(1000), at(2000))
	add := func(name string, o hvshed.Order) {
		if !q.Add(name, 10, o) {
			t.Fatalf("%s was not added", name)
		}
	}
	add("new-1", hvshed.Order{})
	add("b", hvshed.Order{RefusedAt: r.Since("b", at(2000))})
	add("late", hvshed.Order{Deadline: at(2100)})
	add("a", hvshed.Order{RefusedAt: r.Since("a", at(2000))})
	add("cancel", hvshed.Order{First: true})
	add("new-2", hvshed.Order{Deadline: at(2400)})
	if early := r.Since("a", at(1999)); !early.IsZero() {
		t.Error("a caller that returns before its time goes before others")
	}
	batch, late := q.Take(at(2000), 300*time.Millisecond)
	if want := []string{"cancel", "a", "b", "new-1", "new-2"}; !slices.Equal(batch, want) || !slices.Equal(late, []string{"late"}) {
		t.Errorf("batch %v and late %v, want %v and late", batch, late, want)
	}
	if q.Len() != 0 || q.Bytes() != 0 {
		t.Errorf("%d records with %d bytes are left", q.Len(), q.Bytes())
	}
}

// Guards against appends and queues beyond their bounds.
func TestQueueBounds(t *testing.T) {
	var q hvshed.Queue[string]
	for i := range hvshed.MaxQueued {
		q.Add(fmt.Sprint(i), 4000, hvshed.Order{})
	}
	if q.Add("more", 1, hvshed.Order{}) {
		t.Errorf("more than %d records are queued", hvshed.MaxQueued)
	}
	if !q.Remove("0") || q.Remove("0") {
		t.Error("a record is removed not once")
	}
	batch, _ := q.Take(at(0), 0)
	if want := hvshed.MaxBytes / 4000; len(batch) != want {
		t.Errorf("%d records in one append, want %d", len(batch), want)
	}
	if want := (hvshed.MaxQueued - 1 - len(batch)) * 4000; q.Bytes() != want {
		t.Errorf("%d bytes are left, want %d", q.Bytes(), want)
	}
}
