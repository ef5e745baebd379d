package hvcrash

import (
	"slices"
	"time"
)

const (
	// historyWindow is how long crashes count for the background rate.
	historyWindow = 30 * time.Second
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 200
	// minBackground is the background rate per second of a host in a fleet without
	// crashes. It is far above the rate of real hosts, so that a task is not blamed for
	// a coincidence.
	minBackground = 0.006
	// fleetPrior is added to the time over which the crashes of the fleet are averaged,
	// so that one crash in a small fleet does not look like a rate.
	fleetPrior = 100 * time.Second
	// rackWindow is the time within which hosts of a rack that lose their power or
	// their network crash.
	rackWindow = 150 * time.Millisecond
	// rackWeight is the probability that a crash of a rack's host has a cause that
	// reaches the others.
	rackWeight = 0.3
)

// HostCrash is a crash in a History.
type HostCrash struct {
	// ID identifies the crash within the History.
	ID   int    `json:"id"`
	Host string `json:"host"`
	Rack string `json:"rack,omitempty"`
	// At is the time of the crash in Unix milliseconds.
	At int64 `json:"at"`
	// Unexplained is the probability that no task caused it.
	Unexplained float64 `json:"unexplained"`
}

func (k HostCrash) age(now time.Time) time.Duration { return sinceUnixMillis(now, k.At) }

// sinceUnixMillis returns the time since a Unix time in milliseconds. It is negative if the
// time was taken with a clock that is ahead, such as that of an earlier owner.
func sinceUnixMillis(now time.Time, at int64) time.Duration {
	return time.Duration(now.UnixMilli()-at) * time.Millisecond
}

// isRecent reports whether the crash counts for the background rate.
func (k HostCrash) isRecent(now time.Time) bool { return k.age(now).Abs() <= historyWindow }

// History holds the recent crashes of hosts. The zero value is empty.
type History struct {
	crashes []HostCrash
	lastID  int
}

// Add records a crash, with the probability that no task caused it, and returns its
// identifier.
func (h *History) Add(now time.Time, host, rack string, unexplained float64) int {
	h.crashes = slices.DeleteFunc(h.crashes, func(k HostCrash) bool { return !k.isRecent(now) })
	if len(h.crashes) >= maxCrashes {
		h.crashes = h.crashes[1:]
	}
	h.lastID++
	h.crashes = append(h.crashes, HostCrash{h.lastID, host, rack, now.UnixMilli(), unexplained})
	return h.lastID
}

// Explain removes a crash for which a task is blamed.
func (h *History) Explain(id int) {
	h.crashes = slices.DeleteFunc(h.crashes, func(k HostCrash) bool { return k.ID == id })
}

// Background returns the rate per second at which a host in a fleet of that many hosts
// crashes for reasons other than a task.
func (h *History) Background(now time.Time, host, rack string, hosts int) float64 {
	rate := minBackground
	for _, k := range h.crashes {
		if !k.isRecent(now) {
			continue
		}
		rate += k.Unexplained / (fleetPrior + time.Duration(hosts)*historyWindow).Seconds()
		switch {
		case k.Host == host:
			rate += k.Unexplained / historyWindow.Seconds()
		case k.isNear(now, rack):
			rate += k.Unexplained * rackWeight / rackWindow.Seconds()
		}
	}
	return rate
}

// isNear reports whether a crash may have a cause that reaches a rack.
func (k HostCrash) isNear(now time.Time, rack string) bool {
	age := k.age(now)
	return k.Rack == rack && rack != "" && age >= 0 && age <= rackWindow
}

// RackUnsteady reports whether a host of a rack crashed so recently that the others may
// crash for the same reason.
func (h *History) RackUnsteady(now time.Time, rack string) bool {
	return slices.ContainsFunc(h.crashes, func(k HostCrash) bool { return k.isNear(now, rack) })
}

// State returns a copy of the crashes, for the next owner.
func (h *History) State() []HostCrash { return slices.Clone(h.crashes) }

// Restore replaces the crashes with a copy.
func (h *History) Restore(crashes []HostCrash) {
	h.crashes = slices.Clone(crashes)
	for _, k := range crashes {
		h.lastID = max(h.lastID, k.ID)
	}
}
