package hvhealth

import (
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// The model: a bad host fails nearly everything, a bad task fails nearly
// everywhere, and a good task on a good host fails rarely.
const (
	badHostFails = 0.95
	badTaskFails = 0.97
	goodFails    = 0.01

	// priorOdds is the logarithm of the odds that a host is bad before any
	// result: one in fifty.
	priorOdds = -3.9
	// Odds stay above this bound, so that a host that worked well for long
	// and then breaks is found after as few failures as any other.
	minOdds = -4.5
	// rackOdds is added while another host of the rack is suspect, as the
	// hosts of a rack share power, network and delivery.
	rackOdds = 1.5
	// suspectOdds (2 to 1) and badOdds (20 to 1) are the beliefs at which a
	// host is used last and at which it goes into quarantine.
	suspectOdds = 0.7
	badOdds     = 3.0
	// clearOdds is the belief below which a host counts as healthy when a
	// task is blamed for its failure there.
	clearOdds = -0.7

	// minTaskRate and maxTaskRate bound the assumed rate of bad tasks.
	minTaskRate = 0.05
	maxTaskRate = 0.8
)

// judge computes the odds of a host from its recent results, oldest first, and
// starts its quarantine if they are bad.
func (h *Health) judge(now time.Time, w *worker) {
	odds := priorOdds
	if h.rackSuspect(w) {
		odds += rackOdds
	}
	floor := min(odds, minOdds)
	failed := 0
	for _, r := range w.results {
		odds = max(odds+h.evidence(w, r), floor)
		if r.ok {
			failed = 0
			continue
		}
		failed++
	}
	w.odds = odds
	if odds > badOdds && failed >= minFailedTasks && !w.probe.active && h.room() {
		w.probe.start(now)
		h.quarantined++
	}
}

// minFailedTasks is the number of different tasks that must fail on a host,
// with no success between them, before it goes into quarantine.
const minFailedTasks = 3

func (h *Health) room() bool { return (h.quarantined+1)*quarantineParts <= h.options.HostCount() }

// settle ends the quarantine of a host whose probes succeeded.
func (h *Health) settle(w *worker) {
	if !w.probe.passed() {
		return
	}
	w.probe = probe{delay: w.probe.delay}
	w.results = nil
	w.odds = priorOdds
	h.quarantined--
}

// evidence is the logarithm of how much likelier a result is on a bad host.
func (h *Health) evidence(w *worker, r result) float64 {
	bad := h.badTask(w, r.task)
	fails := bad*badTaskFails + (1-bad)*goodFails
	if r.ok {
		return math.Log((1 - badHostFails) / (1 - fails))
	}
	return math.Log(badHostFails / max(fails, goodFails))
}

// badTask is the probability that a task is bad, by its results on the other
// hosts.
func (h *Health) badTask(w *worker, task string) float64 {
	j, ok := h.tasks.Peek(task)
	if !ok {
		return h.typical.rate
	}
	if j.succeeded {
		return 0
	}
	odds := math.Log(h.typical.rate / (1 - h.typical.rate))
	for name := range j.failed {
		other, found := h.hosts.Peek(name)
		if name == w.name || !found {
			continue
		}
		bad := probability(other.odds)
		odds += math.Log(badTaskFails / (bad*badHostFails + (1-bad)*goodFails))
	}
	return min(probability(odds), badTaskFails)
}

func probability(odds float64) float64 { return 1 / (1 + math.Exp(-odds)) }

func (h *Health) rackSuspect(w *worker) bool {
	for _, other := range h.racks[w.rack] {
		if other != w && other.odds > suspectOdds {
			return true
		}
	}
	return false
}

// typical is the failure rate of the median host. It rises during a flood of
// bad jobs, which fail everywhere, and not with a few bad hosts.
type typical struct {
	rate float64
	last time.Time
}

// typicalStep bounds the work of looking at all hosts.
const typicalStep = time.Second

func (t *typical) update(now time.Time, hosts *lru.Cache[string, *worker]) {
	if now.Sub(t.last) < typicalStep {
		return
	}
	t.last = now
	var rates []float64
	for _, w := range hosts.Values() {
		if len(w.results) > 0 {
			rates = append(rates, w.rate())
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	t.rate = min(max(rates[len(rates)/2], minTaskRate), maxTaskRate)
}

func (w *worker) rate() float64 {
	failed := 0
	for _, r := range w.results {
		if !r.ok {
			failed++
		}
	}
	// Two assumed successes keep a host with few results from counting as
	// one that always fails.
	return float64(failed) / float64(len(w.results)+2)
}
