package hvhealth

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(n int) *Health { return New(Options{HostCount: func() int { return n }}) }

func rack(i int) string { return fmt.Sprintf("r%d", i/3) }

func name(i int) string { return fmt.Sprintf("h%d", i) }

// drive lets tasks run on random hosts; a task that failed is tried elsewhere
// until it succeeds or is at fault.
func drive(h *Health, hosts, tasks int, badHost func(int) bool, badTask func(int) bool) (blamed []int) {
	now, random := epoch, rand.New(rand.NewPCG(1, 1))
	for i := range tasks {
		for range 40 {
			at := random.IntN(hosts)
			now = now.Add(100 * time.Millisecond)
			if !h.Usable(now, name(at)) {
				continue
			}
			task := fmt.Sprintf("t%d", i)
			ok := !badHost(at) && !badTask(i)
			h.Record(now, name(at), rack(at), task, ok)
			if ok {
				break
			}
			if h.Faulty(task) {
				blamed = append(blamed, i)
				break
			}
		}
	}
	return blamed
}

// Guards against a rack of bad workers that is not found, and against good
// jobs and good workers that get the blame for it.
func TestRackOfBadWorkers(t *testing.T) {
	h := fleet(40)
	bad := func(i int) bool { return i >= 3 && i < 6 }
	if blamed := drive(h, 40, 400, bad, func(int) bool { return false }); len(blamed) > 0 {
		t.Errorf("good jobs %v were blamed", blamed)
	}
	for i := range 40 {
		if h.Suspect(name(i)) != bad(i) {
			t.Errorf("suspect %s is %v", name(i), h.Suspect(name(i)))
		}
	}
	if h.Quarantined() != 3 {
		t.Errorf("%d hosts are in quarantine", h.Quarantined())
	}
}

// Guards against a flood of bad jobs that takes good workers out of use.
func TestFloodOfBadJobs(t *testing.T) {
	h := fleet(11)
	bad := func(i int) bool { return i > 100 && i%2 == 0 }
	blamed := drive(h, 11, 600, func(int) bool { return false }, bad)
	if h.Quarantined() != 0 {
		t.Errorf("%d good hosts are in quarantine", h.Quarantined())
	}
	for _, i := range blamed {
		if !bad(i) {
			t.Errorf("good job %d was blamed", i)
		}
	}
	if len(blamed) < 240 {
		t.Errorf("%d of 249 bad jobs were found", len(blamed))
	}
}

// Guards against a quarantine that takes more than a quarter of the fleet, for
// any sequence of results.
func TestQuarantineIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 24).Draw(t, "hosts")
		h := fleet(hosts)
		now := epoch
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		for i := range rapid.IntRange(1, 300).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
			at := rapid.IntRange(0, hosts-1).Draw(t, "host")
			h.Record(now, name(at), rack(at), fmt.Sprint(i/2), rapid.Float64Range(0, 1).Draw(t, "draw") >= failing)
			out := 0
			for n := range hosts {
				if !h.Usable(now, name(n)) {
					out++
				}
			}
			if 4*out > hosts || 4*h.Quarantined() > hosts {
				t.Fatalf("%d of %d hosts are in quarantine", max(out, h.Quarantined()), hosts)
			}
		}
	})
}

// Guards against a repaired worker that stays in quarantine, and against one
// that still fails and returns.
func TestProbing(t *testing.T) {
	for _, repaired := range []bool{true, false} {
		h := fleet(8)
		now := epoch
		for i := range 8 {
			h.Record(now, name(i), rack(i), "first", true)
		}
		for i := range 4 {
			h.Record(now, "h1", "r1", fmt.Sprint(i), false)
		}
		if h.Usable(now, "h1") {
			t.Fatal("a host that failed four tasks is usable")
		}
		probes := 0
		for i := range 600 {
			now = now.Add(time.Second)
			if h.Usable(now, "h1") {
				probes++
				h.Record(now, "h1", "r1", fmt.Sprint("probe", i), repaired)
			}
		}
		if h.Usable(now, "h1") != repaired {
			t.Errorf("repaired %v: usable after 10 minutes is %v", repaired, !repaired)
		}
		if !repaired && probes > 5 {
			t.Errorf("%d probes failed in 10 minutes", probes)
		}
	}
}
