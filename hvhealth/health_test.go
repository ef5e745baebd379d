package hvhealth

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newHealth(n int) *Health { return New(Options{HostCount: func() int { return n }}) }

func rackName(i int) string { return fmt.Sprintf("r%d", i/3) }

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

// runTasks runs tasks on random hosts; a task that failed is retried on another
// host until it succeeds or is found faulty. It returns the faulty tasks.
func runTasks(h *Health, hosts, tasks int, badHost func(int) bool, badTask func(int) bool) (faulty []int) {
	now, random := epoch, rand.New(rand.NewPCG(1, 1))
	for i := range tasks {
		for range 40 {
			host := random.IntN(hosts)
			now = now.Add(100 * time.Millisecond)
			if !h.Usable(now, hostName(host)) {
				continue
			}
			task := fmt.Sprintf("t%d", i)
			ok := !badHost(host) && !badTask(i)
			h.Record(now, hostName(host), rackName(host), task, ok)
			if ok {
				break
			}
			if h.Faulty(task) {
				faulty = append(faulty, i)
				break
			}
		}
	}
	return faulty
}

// Guards against a rack of bad workers that is not detected, and against good
// jobs or good workers that are reported as bad because of it.
func TestRackOfBadWorkers(t *testing.T) {
	h := newHealth(40)
	bad := func(i int) bool { return i >= 3 && i < 6 }
	if faulty := runTasks(h, 40, 400, bad, func(int) bool { return false }); len(faulty) > 0 {
		t.Errorf("good jobs %v were found faulty", faulty)
	}
	for i := range 40 {
		if h.Suspect(hostName(i)) != bad(i) {
			t.Errorf("host %s: suspect is %v", hostName(i), h.Suspect(hostName(i)))
		}
	}
	if h.Quarantined() != 3 {
		t.Errorf("%d hosts are quarantined, want 3", h.Quarantined())
	}
}

// Guards against an overload of bad jobs that gets good workers quarantined.
func TestOverloadOfBadJobs(t *testing.T) {
	h := newHealth(11)
	bad := func(i int) bool { return i > 100 && i%2 == 0 }
	faulty := runTasks(h, 11, 600, func(int) bool { return false }, bad)
	if h.Quarantined() != 0 {
		t.Errorf("%d good hosts are quarantined, want 0", h.Quarantined())
	}
	for _, i := range faulty {
		if !bad(i) {
			t.Errorf("good job %d was found faulty", i)
		}
	}
	if len(faulty) < 240 {
		t.Errorf("%d of 249 bad jobs were found faulty, want at least 240", len(faulty))
	}
}

// Guards against quarantining more than a quarter of the fleet, for any
// sequence of results.
func TestQuarantineIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 24).Draw(t, "hosts")
		h := newHealth(hosts)
		now := epoch
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		for i := range rapid.IntRange(1, 300).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			h.Record(now, hostName(host), rackName(host), fmt.Sprint(i/2), rapid.Float64Range(0, 1).Draw(t, "draw") >= failing)
			unusable := 0
			for n := range hosts {
				if !h.Usable(now, hostName(n)) {
					unusable++
				}
			}
			if 4*unusable > hosts || 4*h.Quarantined() > hosts {
				t.Fatalf("%d of %d hosts are quarantined, want at most a quarter", max(unusable, h.Quarantined()), hosts)
			}
		}
	})
}

// Guards against a repaired worker that stays in quarantine, and against one
// that still fails but leaves it.
func TestProbing(t *testing.T) {
	for _, repaired := range []bool{true, false} {
		h := newHealth(8)
		now := epoch
		for i := range 8 {
			h.Record(now, hostName(i), rackName(i), "first", true)
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
			t.Errorf("%d probes failed in 10 minutes, want at most 5", probes)
		}
	}
}
